//! Bookings that a client sends to both processes of a proxy during an upgrade: each repeat id runs at most once.
#![allow(missing_docs)]

mod scenario;
use scenario::run_scenario;

#[test]
fn a_booking_sent_to_both_processes_at_once_runs_once_and_succeeds_at_one() {
    for _ in 0..4 {
        run_scenario(
            "member p primary
             start odata console handed
             o send GET k0 monthly-report
             o expect 200
             upgrade
             n send GET k0 monthly-report
             n expect 200
             wait 1100
             p does hold
             o,n race POST k1 01 id=x sent=0
             p expect 1 write k1
             wait 50
             p does answer
             o,n expect one 201 and 412
             p expect 1 write k1",
        );
    }
}

#[test]
fn forty_ids_sent_to_both_processes_at_once_run_once_each() {
    let race = |n| {
        format!(
            "o,n race POST k{n}- 01 id=x{n} sent=0
             o,n expect one 201 and 412
             p expect 1 write k{n}-\n"
        )
    };
    run_scenario(&format!(
        "member p primary
         start odata console handed
         o send GET k0 monthly-report
         o expect 200
         upgrade
         n send GET k0 monthly-report
         n expect 200
         wait 1100
         {}",
        (0..40).map(race).collect::<String>()
    ));
}

#[test]
fn a_booking_whose_process_was_killed_does_not_run_again_through_the_other() {
    run_scenario(
        "member p primary
         start odata console handed
         o send GET k0 monthly-report
         o expect 200
         upgrade
         wait 1100
         p does hold
         o send POST k1 01 id=x sent=0
         p expect 1 write k1
         former kill
         p does answer
         n send POST k1 01 id=x sent=0
         n expect 412 RepeatabilityExpired
         wait 300
         n send POST k1 01 id=x sent=0
         n expect 412 RepeatabilityExpired
         p expect 1 write k1",
    );
}

#[test]
fn an_id_used_for_another_booking_at_the_other_process_is_a_conflict() {
    run_scenario(
        "member p primary
         start odata console handed
         o send GET k0 monthly-report
         o expect 200
         upgrade
         wait 1100
         o send POST k1 01 id=x sent=0
         o expect 201
         n send POST k1 02 id=x sent=0
         n expect 412 RepeatabilityConflict
         n send POST k1 02 id=y sent=0
         n expect 201
         o send POST k1 03 id=y sent=0
         o expect 412 RepeatabilityConflict
         p expect 2 write k1",
    );
}

#[test]
fn a_booking_of_a_client_whose_clock_is_ahead_does_not_run_again_through_the_next_process() {
    run_scenario(
        "member p primary
         start odata console handed
         o send POST k1 01 id=x sent=-30
         o expect 201
         upgrade
         n send POST k1 01 id=x sent=-30
         n expect 412 RepeatabilityExpired
         p expect 1 write k1",
    );
}

#[test]
fn a_booking_run_two_processes_earlier_does_not_run_again() {
    run_scenario(
        "member p primary
         start odata console handed
         o send POST k1 01 id=x sent=-30
         o expect 201
         upgrade
         former stop
         former gone
         upgrade
         n send POST k1 01 id=x sent=-30
         n expect 412 RepeatabilityExpired
         former kill
         wait 300
         upgrade
         m send POST k1 01 id=x sent=-30
         m expect 412 RepeatabilityExpired
         p expect 1 write k1",
    );
}

#[test]
fn a_booking_does_not_run_again_when_ids_cannot_be_shared() {
    // A file in the place of the folder of repeat ids: the former process cannot publish its ids, so the next process
    // must not take a missing id for proof that the booking has not run.
    run_scenario(
        "member p primary
         start odata console handed
         o send GET k0 monthly-report
         o expect 200
         shared repeat-ids is a file
         upgrade
         wait 1100
         o send POST k1 01 id=x sent=0
         n send POST k1 01 id=x sent=0
         n expect 412 RepeatabilityExpired
         p expect under 2 write k1",
    );
}

#[test]
fn a_booking_does_not_run_again_while_the_former_process_hangs() {
    run_scenario(
        "member p primary
         start odata console handed
         o send POST k1 01 id=x sent=-30
         o expect 201
         former hangs
         upgrade
         n send POST k1 01 id=x sent=-30
         n expect 412 RepeatabilityExpired
         former resumes
         wait 500
         n send POST k1 01 id=x sent=-30
         n expect 412 RepeatabilityExpired
         n send POST k2 01 id=y sent=0
         n expect 201
         p expect 1 write k1",
    );
}

#[test]
fn a_booking_does_not_run_again_when_the_shared_folder_is_unusable_at_startup() {
    // A folder in the place of the lock file: the next process and the former cannot detect each other.
    run_scenario(
        "member p primary
         start odata console handed
         o send POST k1 01 id=x sent=-60
         o expect 201
         shared seat-1 blocked
         upgrade
         n send POST k1 01 id=x sent=-60
         n expect 412 RepeatabilityExpired
         console 400 SUSPEND p
         shared seat-1 free
         counts handovers 1
         n send POST k1 01 id=x sent=-60
         n expect 412 RepeatabilityExpired
         n send POST k2 01 id=y sent=0
         n expect 201
         p expect 1 write k1",
    );
}

#[test]
fn both_processes_accept_new_bookings_and_those_that_never_ran() {
    run_scenario(
        "member p primary
         start odata console handed
         o send GET k0 monthly-report
         o expect 200
         upgrade
         o send POST k1 01 id=a sent=0
         o expect 201
         n send POST k1 02 id=b sent=0
         n expect 201
         o send POST k1 03 id=c sent=0
         o expect 201
         former 200 SUSPEND p
         wait 2100
         o send POST k2 01 id=d sent=0 Skip-Wait=700
         o expect 503
         former 200 RESTORE p
         wait 1100
         n send POST k2 01 id=d sent=2
         n expect 201
         o send POST k2 01 id=d sent=2
         o expect 412
         p expect 1 write k2
         former stop
         former gone
         n send POST k3 01 id=e sent=0
         n expect 201
         n send POST k3 01 id=e sent=0
         n expect 201
         p expect 1 write k3",
    );
}

#[test]
fn without_odata_no_ids_are_shared() {
    run_scenario(
        "member p primary
         start console handed
         a send write k1 01
         a expect row 01
         upgrade
         wait 300
         shared repeat-ids missing
         shared ids-wanted-0 missing
         shared ids-wanted-1 missing
         shared ids-told-0 missing
         shared ids-told-1 missing",
    );
}
