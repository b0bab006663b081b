//! Reads whose class is unsafe (or keyed, with its window over): once a member may have run such a read, the proxy
//! neither sends it again nor answers that a retry is harmless. The scenarios force each order of events on the real
//! program.
#![allow(missing_docs)]

mod scenario;
use scenario::run_scenario;

/// Makes the class of session reads unsafe, as the settings of a deployment may.
const UNSAFE: &str = "config sets services/1/idempotency \"non_idempotent\"\n";
/// Makes the class of session reads keyed, with a window that is over before any answer can arrive.
const KEYED: &str = "config sets services/1/idempotency \"idempotency_key\"
    config sets services/1/group \"zone\"
    config sets services/1/window_us 1\n";
/// SQLSTATEs of a member that refuses a statement without running it.
const NOT_RUN_CODES: [&str; 3] = ["53300", "72000", "25006"];

/// A session read by either front that carries no commit position; the proxy itself knows of the session's earlier
/// write.
const SESSION_READS: [&str; 2] = [
    "a send read k1 my-booking k=5c0f
     a expect no refusal",
    "o send GET k1 my-booking
     o expect no refusal",
];

#[test]
fn an_unsafe_read_is_not_sent_again_when_its_answer_proves_no_position() {
    let all_mute = "p does mute\nr does mute\nq does mute";
    let all_unplaced = "p does unplaced\nr does unplaced\nq does unplaced";
    let replicas_mute = "r does mute\nq does mute";
    for (class, members) in
        [(UNSAFE, all_mute), (UNSAFE, all_unplaced), (UNSAFE, replicas_mute), (KEYED, all_mute)]
    {
        for read in SESSION_READS {
            run_scenario(&format!(
                "{class}
                 member p primary
                 member r replica 0
                 member q replica 0
                 start odata traced
                 a send write k1 01
                 a expect row 01
                 {members}
                 {read}
                 sum 1 read k1
                 counts violations under 1"
            ));
        }
    }
    // If the answer of a write names no commit, the proxy takes the time of that answer for the commit. Replicas are
    // chosen by the positions that they have reported.
    for read in SESSION_READS {
        run_scenario(&format!(
            "{UNSAFE}
             config sets family_info/session_marks \"remembered\"
             member p primary
             member r replica 60000
             member q replica 60000
             start odata traced
             p does unplaced
             a send write k1 01
             a expect row 01
             p does answer
             {read}
             sum 1 read k1"
        ));
    }
}

#[test]
fn a_read_is_served_when_its_member_was_known_to_be_recent_enough() {
    // Replicas give their positions only in reports, as where only the answers of writes carry a position.
    for (class, read, row) in [
        (UNSAFE, "a send read k1 my-booking", "a expect row 01"),
        ("", "a send read k1 my-booking", "a expect row 01"),
        (UNSAFE, "o send GET k1 my-booking", "o expect 200"),
    ] {
        run_scenario(&format!(
            "{class}
             config sets family_info/session_marks \"remembered\"
             member p primary
             member r replica 0
             start odata traced
             a send write k1 01
             a expect row 01
             r does unplaced
             p does unplaced
             wait 50
             {read}
             {row}
             sum 1 read k1
             counts stale_caught under 1"
        ));
    }
}

#[test]
fn a_read_that_ran_at_a_demoted_primary_fails_and_is_not_refused() {
    // The answer predates the session's write, so that the proxy can neither forward it nor send the read again.
    let by_pg =
        "a send raw SELECT v FROM records WHERE k = 'k1' /* id=0f,c=my-booking,t=acme,d=3000,cluster=1 */
         a expect error XX000";
    let by_odata = "o send GET k1 my-booking Skip-Wait=3000
         o expect 502";
    for read in [by_pg, by_odata] {
        run_scenario(&format!(
            "{UNSAFE}
             member p primary
             member r replica 60000
             start odata traced
             a send write k1 01
             a expect row 01
             p does replica 60000
             {read}
             p expect 1 read k1
             r expect 0 read k1"
        ));
    }
}

#[test]
fn an_error_after_a_part_of_an_answer_does_not_prove_that_nothing_ran() {
    // A member that refuses a statement without running it does so before it sends a row description.
    for code in NOT_RUN_CODES {
        for place in ["after-description", "after-row"] {
            run_scenario(&format!(
                "{UNSAFE}
                 member p primary
                 start odata traced
                 p does marred {place} {code}
                 a send write k1 01
                 a expect error XX000
                 o send POST k2 01 id=x sent=0
                 o expect 502
                 a send read k3 my-booking
                 a expect error XX000
                 o send GET k4 my-booking
                 o expect 502
                 p expect 1 write k1
                 p expect 1 write k2
                 p expect 1 read k3
                 p expect 1 read k4"
            ));
        }
    }
}

#[test]
fn an_error_before_or_after_a_whole_answer_does_not_prove_that_nothing_ran() {
    for code in NOT_RUN_CODES {
        for (place, by_pg, by_odata) in [
            ("after-completion", "error XX000", "502"),
            ("before", "error XX000", "502"),
            ("behind", "row 01", "201"),
        ] {
            run_scenario(&format!(
                "{UNSAFE}
                 member p primary
                 start odata traced
                 p does marred {place} {code}
                 a send write k1 01
                 a expect {by_pg}
                 o send POST k2 01 id=x sent=0
                 o expect {by_odata}
                 a send read k1 my-booking
                 a expect {by_pg}
                 p expect 1 write k1
                 p expect 1 write k2
                 p expect 1 read k1"
            ));
        }
    }
}

#[test]
fn a_read_that_may_have_run_at_a_failing_member_is_answered_as_failed() {
    for does in ["error", "reset", "half", "stall", "swapped", "unready", "noisy", "broken 40"] {
        run_scenario(&format!(
            "{UNSAFE}
             member p primary
             member r replica 0
             member q replica 0
             start odata traced
             p does {does}
             r does {does}
             q does {does}
             a send read k1 my-booking
             a expect error XX000
             o send GET k2 my-booking
             o expect 502
             sum 1 read k1
             sum 1 read k2"
        ));
    }
    // The second read carries a position: without one, only the primary could serve it, which is silent by then.
    run_scenario(&format!(
        "{UNSAFE}
         member p primary
         member r replica 0
         start odata traced
         p does hold
         r does hold
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=0f,c=my-booking,t=acme,d=600,cluster=1 */
         a expect error 57014
         o send GET k2 my-booking Skip-Wait=600 Skip-After=1
         o expect 504
         sum 1 read k1
         sum 1 read k2"
    ));
}

#[test]
fn a_duplicate_of_an_earlier_refusal_is_not_taken_for_the_next_answer() {
    run_scenario(&format!(
        "{UNSAFE}
         member p primary
         start traced
         p does full-behind 30000
         a send read k1 my-booking
         a expect error 53300
         p does answer
         a send read k2 my-booking
         a expect row -
         p does twice
         a send read k3 my-booking
         a expect row -
         p does full
         a send read k4 my-booking
         a expect error 53300
         p does answer
         a send read k5 my-booking
         a expect row -
         p expect 1 read k2
         p expect 1 read k3
         p expect 1 read k5
         counts member_extras 1"
    ));
}

#[test]
fn a_read_keeps_the_effect_that_its_class_had_on_arrival() {
    // The first read arrives while its class is safe, the second while it is unsafe.
    run_scenario(
        "member p primary
         member r replica 0
         member q replica 0
         start traced
         p does hold
         r does hold
         q does hold
         a send read k1 my-booking
         counts attempts 1
         config sets services/1/idempotency \"non_idempotent\"
         config does whole
         hup
         counts reloads 1
         b send read k2 my-booking
         counts attempts 2
         config sets services/1/idempotency \"read_like\"
         config does whole
         hup
         counts reloads 2
         p does reset
         r does reset
         q does reset
         b expect error XX000
         sum 1 read k2
         counts attempts 3",
    );
}

#[test]
fn the_end_of_one_request_is_not_reported_for_another() {
    for (fails, answers, read_result, write_result) in
        [("r", "p", "error XX000", "row 02"), ("p", "r", "row -", "error XX000")]
    {
        run_scenario(&format!(
            "{UNSAFE}
             member p primary
             member r replica 0
             start traced
             a send write k0 01
             a expect row 01
             p does hold
             r does hold
             a send read k1 my-booking
             r expect 1 read k1
             b send write k2 02
             p expect 1 write k2
             {fails} does reset
             counts severed 1
             {answers} does answer
             a expect {read_result}
             b expect {write_result}
             sum 1 read k1
             sum 1 write k2"
        ));
    }
}

#[test]
fn a_client_is_not_told_to_retry_what_members_cannot_recognise() {
    // By the PostgreSQL protocol a client's retry keeps its key. By OData it does not know for how long members do.
    run_scenario(
        "config sets services/1/idempotency \"idempotency_key\"
         config sets services/1/group \"all\"
         config sets services/1/window_us 1
         config sets services/3/idempotency \"idempotency_key\"
         config sets services/3/group \"all\"
         config sets services/3/window_us 1
         member p primary
         start odata traced
         p does reset
         a send write k0 01 k=5c0f
         a expect error 53300
         o send POST k1 01
         o expect 502
         o send GET k2 my-booking
         o expect 502
         o send POST k3 01 id=x sent=0
         o expect 502
         o send POST k3 01 id=x sent=0
         o expect 502
         p expect 1 write k1
         p expect 1 read k2
         p expect 1 write k3",
    );
}
