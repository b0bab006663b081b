//! Daily operation, with the real program between stand-ins: the console, members out by hand, a listener handed on.
#![allow(missing_docs)]

mod scenario;
use scenario::play;

#[test]
fn the_console_answers_each_line_once_and_no_call_it_does_not_know() {
    play(
        "member p primary
         start console
         console 200 STATUS
         console 200 SUSPEND p
         console 200 RESTORE p
         console 400 SUSPEND s-77777777
         console 400 RESTORE s-77777777
         console 400 SUSPEND
         console 400 SUSPEND p p
         console 400 STATUS p
         console 400 status
         console 400 HELLO
         console 200 STATUS\\nSUSPEND p
         a send read k1 monthly-report
         a expect row -
         counts console_calls 11
         counts console_refused 7",
    );
}

#[test]
fn status_says_no_while_no_request_could_be_served() {
    // Its only member is out by hand.
    play(
        "member p primary
         start console
         console 200 STATUS
         console 200 SUSPEND p
         console 400 STATUS
         console 200 RESTORE p
         console 200 STATUS",
    );
}

#[test]
fn callers_that_say_nothing_do_not_keep_out_one_that_does() {
    play(
        "member p primary
         start console
         silent 60
         console 200 STATUS
         silent 60
         console 200 SUSPEND p
         console 200 RESTORE p
         counts console_made_room 50",
    );
}

#[test]
fn the_console_is_there_where_clients_hold_all_the_descriptors_they_may() {
    // A small proxy has seats for four clients; the others wait at the door.
    play(
        "member p primary
         start console small
         a send hello
         b send hello
         c send hello
         d send hello
         silent 20
         console 200 STATUS
         console 200 SUSPEND p
         console 200 RESTORE p",
    );
}

#[test]
fn a_member_out_by_hand_gets_nothing_new_and_finishes_what_it_has() {
    play(
        "member p primary
         member r replica 0
         start console
         a send write k0 01
         a expect row 01
         r does hold
         a send read k1 monthly-report
         r expect 1 read k1
         console 200 SUSPEND r
         console 200 SUSPEND r
         r does answer
         a expect row -
         a send read k2 monthly-report
         a expect row -
         r expect 0 read k2
         p expect 1 read k2
         console 200 RESTORE r
         console 200 SUSPEND p
         a send read k3 monthly-report
         a expect row -
         p expect 0 read k3
         r expect 1 read k3",
    );
}

#[test]
fn what_discovery_says_meanwhile_does_not_put_a_member_back() {
    play(
        "member p primary
         member r replica 0
         start console watching
         console 200 SUSPEND r
         list does leaving r
         list does active r
         list does left r
         list does active r
         list expect 3 watches
         wait 300
         a send read k1 monthly-report
         a expect row -
         r expect 0 read k1
         list does left r
         wait 300
         console 200 RESTORE r
         list does active r
         wait 300
         console 200 SUSPEND p
         a send read k2 monthly-report
         a expect row -
         r expect 1 read k2",
    );
}

#[test]
fn the_one_that_leaves_neither_shuts_the_listener_nor_leaves_a_request_unread() {
    play(
        "member p primary
         start console handed
         a send read k1 monthly-report
         a expect row -
         b send hello
         p does hold
         c send read k2 monthly-report
         p expect 1 read k2
         upgrade
         console 200 STATUS
         former 200 STATUS
         former stop
         b send read k3 monthly-report
         p does answer
         c expect row -
         c expect closed
         b expect row -
         b expect closed
         d send read k4 monthly-report
         d expect row -
         former gone
         d send read k5 monthly-report
         d expect row -
         console 200 STATUS",
    );
}
