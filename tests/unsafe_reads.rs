//! Reads that may not simply be repeated, by the settings of their class: once a member may have run one, it is neither sent
//! again nor answered with the promise that trying again is harmless. Every order is forced on the real program.
#![allow(missing_docs)]

mod scenario;
use scenario::run_scenario;

/// The class of session reads may not be repeated, as the settings of a deployment may say.
const UNSAFE: &str = "config sets services/1/idempotency \"non_idempotent\"\n";
/// It may be repeated within its window, which is over before any answer can come.
const KEYED: &str = "config sets services/1/idempotency \"idempotency_key\"
    config sets services/1/group \"zone\"
    config sets services/1/window_us 1\n";
/// What a member answers that turns a statement away untouched.
const NEVER_RAN: [&str; 3] = ["53300", "72000", "25006"];

/// A session read by either front, whose session the proxy has seen write what no statement says.
const SESSION_READS: [&str; 2] = [
    "a send read k1 my-booking
     a expect no refusal",
    "o send GET k1 my-booking
     o expect no refusal",
];

#[test]
fn a_read_that_may_not_be_repeated_is_sent_again_where_its_answer_proves_no_position() {
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
    // The proxy takes a write that told no commit for committed when its answer came; replicas are chosen by what was told.
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
fn a_read_fails_though_the_member_that_served_it_was_known_to_be_recent_enough() {
    // Replicas tell their positions by reports alone, as where only writes' answers tell one.
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
fn a_read_that_ran_at_a_primary_without_its_role_is_refused() {
    // Its answer is from before the session's write, so that it can be neither passed on nor had again.
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
fn an_error_behind_a_part_of_an_answer_is_taken_for_proof_that_nothing_ran() {
    // A member that turns a statement away does so before it describes a row.
    for code in NEVER_RAN {
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
fn an_error_beside_a_whole_answer_proves_nothing() {
    for code in NEVER_RAN {
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
fn what_may_have_run_at_a_member_that_fails_is_told_as_a_failure() {
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
    run_scenario(&format!(
        "{UNSAFE}
         member p primary
         member r replica 0
         start odata traced
         p does hold
         r does hold
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=0f,c=my-booking,t=acme,d=600,cluster=1 */
         a expect error 57014
         o send GET k2 my-booking Skip-Wait=600
         o expect 504
         sum 1 read k1
         sum 1 read k2"
    ));
}

#[test]
fn a_copy_of_an_earlier_refusal_is_not_taken_for_the_next_answer() {
    run_scenario(&format!(
        "{UNSAFE}
         member p primary
         start traced
         p does full-behind 30000
         a send read k1 my-booking
         a expect error 53300 2000
         p does answer
         a send read k2 my-booking
         a expect row -
         p does twice
         a send read k3 my-booking
         a expect row -
         p does full
         a send read k4 my-booking
         a expect error 53300 2000
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
fn a_read_keeps_the_effect_that_its_class_had_when_it_came() {
    // The first came while it might be repeated, the second while it might not.
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
fn an_end_of_one_request_is_not_told_of_another() {
    for (fails, answers, of_read, of_write) in
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
             a expect {of_read}
             b expect {of_write}
             sum 1 read k1
             sum 1 write k2"
        ));
    }
}

#[test]
fn a_client_is_told_to_repeat_what_members_cannot_know_again() {
    // Each try by OData has an id of its own at members; by the other protocol tries share their client's.
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
         a send write k0 01
         a expect error 53300 500
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
