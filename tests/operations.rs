//! Daily operation, with the real program between stand-ins: the console, members out by hand, a listener handed on.
#![allow(missing_docs)]

mod scenario;
use scenario::run_scenario;

#[test]
fn the_console_answers_each_line_once_and_no_call_it_does_not_know() {
    run_scenario(
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
    run_scenario(
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
    run_scenario(
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
    run_scenario(
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
    run_scenario(
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
    run_scenario(
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
    run_scenario(
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

#[test]
fn what_the_operators_say_at_either_process_binds_both_and_the_next() {
    run_scenario(
        "member p primary
         member r replica 0
         start console handed
         console 200 SUSPEND r
         upgrade
         a send write k0 01
         a expect row 01
         a send read k1 monthly-report
         a expect row -
         console 200 RESTORE r
         former 200 SUSPEND p
         wait 1000
         b send read k2 monthly-report
         b expect row -
         c send read k2 monthly-report
         c expect row -
         d send read k2 monthly-report
         d expect row -
         r expect 0 read k1
         r expect 3 read k2
         former stop
         former gone
         console 200 SUSPEND r
         console 400 STATUS
         console 200 RESTORE p
         upgrade
         former stop
         former gone
         e send read k3 monthly-report
         e expect row -
         p expect 1 read k3
         r expect 0 read k3",
    );
}

#[test]
fn calls_at_both_processes_at_once_are_all_recorded() {
    // Each call reads, changes and writes the same file.
    run_scenario(
        "member p primary
         member a replica 0
         member b replica 0
         member c replica 0
         member d replica 0
         start console handed
         upgrade
         both SUSPEND a b c d
         former stop
         former gone
         upgrade
         x send write k0 01
         x expect row 01
         x send read k1 monthly-report
         x expect row -
         x send read k1 monthly-report
         x expect row -
         p expect 2 read k1
         a expect 0 read k1
         b expect 0 read k1
         c expect 0 read k1
         d expect 0 read k1",
    );
}

#[test]
fn a_file_of_the_handover_that_cannot_be_used_is_passed_over() {
    run_scenario(
        "member p primary
         member r replica 0
         start console handed
         console 200 SUSPEND r
         shared hands is linentrail-handover 1 90 00000000
         upgrade
         counts handover_files_passed_over 1
         shared hands is [odata]
         console 200 SUSPEND p
         former stop
         former gone
         upgrade
         a send read k1 monthly-report
         a expect row -
         p expect 0 read k1",
    );
}

#[test]
fn one_process_goes_on_where_the_other_is_killed() {
    run_scenario(
        "member p primary
         start console handed
         upgrade
         back out
         console 200 STATUS
         a send write k1 01
         a expect row 01
         upgrade
         former kill
         console 200 STATUS
         b send read k1 monthly-report
         b expect row 01
         upgrade
         counts handovers 1",
    );
}

/// Clients that never stop, and what has become of their requests.
mod load {
    use linentrail_standins::client::{request_id, ClientAnswer, ClientRequest, PgClient};
    use linentrail_standins::{runtime, wire};
    use std::net::SocketAddr;
    use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
    use std::sync::Arc;

    #[derive(Default)]
    pub struct Seen {
        pub served: AtomicU64,
        pub refused: AtomicU64,
        pub stale: AtomicU64,
        /// Connections that ended under a request, or that could not be had.
        pub broken: AtomicU64,
        pub wrong: AtomicU64,
        over: AtomicBool,
    }

    impl Seen {
        pub fn end(&self) {
            self.over.store(true, Ordering::Relaxed);
        }
    }

    fn add(to: &AtomicU64) {
        to.fetch_add(1, Ordering::Relaxed);
    }

    /// One client: a booking on a key of its own, then a read of it that carries the commit, as the platform's do.
    pub fn client(to: SocketAddr, number: usize, seen: Arc<Seen>) -> tokio::task::JoinHandle<u64> {
        runtime().spawn(async move {
            let (mut conn, mut n, mut written) = (None::<PgClient>, 0u64, 0);
            while !seen.over.load(Ordering::Relaxed) {
                let mut pg = match conn.take() {
                    Some(pg) => pg,
                    None => match PgClient::connect(to).await {
                        Ok(pg) => pg,
                        Err(_) => {
                            add(&seen.broken);
                            continue;
                        }
                    },
                };
                let write = n.is_multiple_of(2);
                let value = (n / 2).to_be_bytes().to_vec();
                let ask = ClientRequest {
                    class: if write { "place-order" } else { "my-booking" },
                    key: format!("load{number}"),
                    value: write.then(|| value.clone()),
                    wait_ms: 8_000,
                    after: (!write).then(linentrail_standins::now_ms),
                };
                if pg.send(&wire::query(&ask.sql(&request_id()))).await.is_err() {
                    add(&seen.broken);
                    continue;
                }
                match pg.answer().await {
                    Ok(ClientAnswer::Served(got)) if write || got == value => {
                        add(&seen.served);
                        written += u64::from(write);
                        n += 1;
                    }
                    Ok(ClientAnswer::Served(_)) => {
                        add(&seen.stale);
                        n += 1;
                    }
                    Ok(ClientAnswer::Refused(_)) => add(&seen.refused),
                    Ok(ClientAnswer::Failed(_)) => add(&seen.wrong),
                    Err(_) => {
                        add(&seen.broken);
                        continue;
                    }
                }
                // A close that stands right behind the answer is seen before the next request.
                tokio::time::sleep(std::time::Duration::from_millis(2)).await;
                conn = (!pg.ended().await).then_some(pg);
            }
            written
        })
    }
}

#[test]
fn upgrades_in_a_row_under_load_lose_nothing_and_run_nothing_twice() {
    use linentrail_standins::group::Group;
    use linentrail_standins::member::{Capacity, Member};
    use linentrail_standins::proxy::{config, settings, Proxy, Setup};
    use linentrail_standins::registry::entry;
    use std::sync::atomic::Ordering::Relaxed;
    use std::sync::Arc;
    let group = Group::default();
    let members: Vec<Member> =
        [true, false, false].map(|p| Member::start(&group, p, 0, Capacity::default())).into();
    let known: Vec<_> = members.iter().enumerate().map(|(i, m)| entry(i, m.address())).collect();
    let listener = Arc::new(std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
    let address = listener.local_addr().expect("an address");
    let shared = std::env::temp_dir().join(format!("linentrail-load-{}", std::process::id()));
    std::fs::create_dir_all(&shared).expect("a folder");
    let mut told = config("127.0.0.1:9", &known, settings(), 256, 64);
    told["console"] = "127.0.0.1:0".into();
    let setup = Setup {
        program: env!("CARGO_BIN_EXE_linentrail").into(),
        config: told,
        echo_log: true,
        listener: Some(listener),
        shared_folder: Some(shared.clone()),
        ..Setup::default()
    };
    let mut proxy = Proxy::start(&setup).expect("the proxy starts");
    let seen = Arc::new(load::Seen::default());
    let clients: Vec<_> = (0..12).map(|n| load::client(address, n, seen.clone())).collect();
    for _ in 0..4 {
        std::thread::sleep(std::time::Duration::from_millis(500));
        let next = Proxy::start(&setup).expect("the next one starts");
        let mut former = std::mem::replace(&mut proxy, next);
        former.signal("TERM").expect("it lives");
        assert!(former.wait().expect("its end").success());
    }
    std::thread::sleep(std::time::Duration::from_millis(300));
    seen.end();
    let written: u64 =
        clients.into_iter().map(|c| linentrail_standins::runtime().block_on(c).expect("a client")).sum();
    let counts =
        [&seen.served, &seen.refused, &seen.stale, &seen.broken, &seen.wrong].map(|c| c.load(Relaxed));
    let [served, _, stale, broken, wrong] = counts;
    assert!(served > 100, "{counts:?}");
    assert_eq!((stale, broken, wrong), (0, 0, 0), "served, refused, stale, broken, wrong: {counts:?}");
    assert_eq!(group.runs(), (written, Vec::new()));
    drop(proxy);
    let _ = std::fs::remove_dir_all(shared);
}

#[test]
fn new_settings_hold_for_both_fronts_and_a_dropped_class_is_like_an_unknown_one() {
    run_scenario(
        "member p primary
         start odata
         a send read k1 haste
         a expect error 22023
         config adds haste read_like any
         config does whole
         hup
         counts reloads 1
         a send read k1 haste
         a expect row -
         o send GET k1 haste
         o expect 200
         config drops haste
         config does whole
         hup
         counts reloads 2
         a send read k1 haste
         a expect error 22023
         o send GET k1 haste
         o expect 400 Skip-Class
         a send read k1 yard-board
         a expect row -",
    );
}

#[test]
fn a_configuration_that_cannot_be_used_changes_nothing() {
    for fault in [
        "config sets services/1/deadline_us 0",
        "config sets limits/max_attempts 0",
        "config sets limits/max_attempts \"many\"",
        "config lacks limits/max_attempts",
        "config lacks rules/fall_us",
        "config lacks services/3/aim_us",
        "config sets family_info/needs_by_class [\"any\"]",
    ] {
        run_scenario(&format!(
            "member p primary
             start watching
             list expect 1 watches
             config adds haste read_like any
             list does move
             {fault}
             config does whole
             hup
             counts reloads_failed 1
             a send read k1 haste
             a expect error 22023
             a send write k1 01
             a expect row 01
             list expect 0 whole
             list expect 0 watches
             counts reloads under 1"
        ));
    }
}

#[test]
fn an_open_request_is_judged_by_the_class_that_it_came_with() {
    // A booking came as one that must never run twice; now it may be repeated, and the other way round.
    for (before, after, told) in
        [("non_idempotent", "read_like", "error XX000"), ("read_like", "non_idempotent", "row 01")]
    {
        run_scenario(&format!(
            "member p primary
             start
             config drops place-order
             config adds place-order {before} write
             config does whole
             hup
             counts reloads 1
             p does hold
             a send write k1 01
             p expect 1 write k1
             config drops place-order
             config adds place-order {after} write
             config does whole
             hup
             counts reloads 2
             p does reset
             counts severed 1
             p does answer
             a expect {told}"
        ));
    }
}

#[test]
fn a_session_reads_by_the_next_process_what_it_has_just_written_by_the_former() {
    // The replica is far behind, and the read carries no position by which it could know. The write's answer leaves the
    // former process when that no longer takes clients, so that the read can only come by the next.
    run_scenario(
        "member p primary
         member r replica 600000
         start console handed
         a send write k0 01
         a expect row 01
         upgrade
         p does hold
         a send write k1 02
         p expect 1 write k1
         former stop
         wait 100
         p does answer
         a expect row 02
         b send read k1 my-booking
         b expect row 02
         former gone
         c send read k1 my-booking
         c expect row 02",
    );
}

#[test]
fn a_session_reads_what_it_has_written_where_the_processes_cannot_see_each_other() {
    // A folder where a lock should be; the replica is far behind.
    run_scenario(
        "member p primary
         member r replica 600000
         start odata console handed
         o send POST k1 02 id=x sent=0
         o expect 201
         shared seat-1 blocked
         upgrade
         n send GET k1 my-booking
         n expect 200 \"Ag\"
         shared seat-1 free
         counts handovers 1
         n send GET k1 my-booking
         n expect 200 \"Ag\"",
    );
}

#[test]
fn both_told_to_end_answer_what_they_have_taken() {
    run_scenario(
        "member p primary
         start console handed
         p does hold
         a send write k1 01
         p expect 1 write k1
         upgrade
         former stop
         wait 100
         b send write k2 02
         p expect 1 write k2
         stop
         console 400 STATUS
         p does answer
         a expect row 01
         a expect closed
         b expect row 02
         b expect closed
         former gone
         gone",
    );
}

#[test]
fn the_console_answers_in_time_while_the_core_has_all_it_can_do() {
    use linentrail_standins::client::{request_id, ClientRequest, PgClient};
    use linentrail_standins::group::Group;
    use linentrail_standins::member::{Capacity, Member};
    use linentrail_standins::proxy::{config, settings, Proxy, Setup};
    use linentrail_standins::registry::entry;
    use linentrail_standins::{runtime, wire};
    use std::time::Duration;
    // Queries without end, sixteen at a time on each connection, for a member that answers at once.
    let member = Member::start(&Group::default(), true, 0, Capacity::default());
    let mut told = config("127.0.0.1:9", &[entry(0, member.address())], settings(), 1024, 64);
    told["console"] = "127.0.0.1:0".into();
    let program = env!("CARGO_BIN_EXE_linentrail").into();
    let proxy = Proxy::start(&Setup { program, config: told, echo_log: true, ..Setup::default() });
    let proxy = proxy.expect("the proxy starts");
    let to = proxy.pg;
    let flood = |n: usize| {
        runtime().spawn(async move {
            let mut pg = PgClient::connect(to).await.expect("it listens");
            let mut answered = 0u64;
            loop {
                let mut queries = Vec::new();
                for _ in 0..16 {
                    let key = format!("k{n}");
                    let ask = ClientRequest {
                        class: "monthly-report",
                        key,
                        value: None,
                        wait_ms: 8_000,
                        after: None,
                    };
                    queries.extend(wire::query(&ask.sql(&request_id())));
                }
                if pg.send(&queries).await.is_err() {
                    return answered;
                }
                for _ in 0..16 {
                    if pg.answer().await.is_err() {
                        return answered;
                    }
                    answered += 1;
                }
            }
        })
    };
    let clients: Vec<_> = (0..96).map(flood).collect();
    std::thread::sleep(Duration::from_millis(300));
    for n in 0..40 {
        let line = ["STATUS\n", "SUSPEND s-00000000\n", "RESTORE s-00000000\n"][n % 3];
        let (answer, took) = proxy.call_console(line).expect("an answer");
        assert!(answer.starts_with("200 ") && took < Duration::from_secs(1), "{line}: {answer} {took:?}");
    }
    let served = proxy.counters().expect("counters")["pg_requests"];
    drop(proxy);
    let answered: u64 = clients.into_iter().map(|c| runtime().block_on(c).expect("a client")).sum();
    assert!(served > 1_000 && answered > 0, "{served} {answered}");
}

#[test]
fn a_booking_tried_at_both_processes_runs_once() {
    run_scenario(
        "member p primary
         start odata console handed
         o send GET k0 monthly-report
         o expect 200
         upgrade
         wait 1100
         o send POST k1 01 id=x sent=0
         o expect 201 Repeatability-Result: accepted
         n send POST k1 01 id=x sent=0
         n expect 412 RepeatabilityExpired
         p expect 1 write k1",
    );
}

#[test]
fn a_booking_that_ran_by_one_process_runs_again_by_the_other() {
    run_scenario(
        "member p primary
         start console handed odata
         b send GET k0 monthly-report
         b expect 200
         upgrade
         console 200 STATUS
         wait 1200
         former stop
         p does reset
         b send POST k1 01 id=x sent=0
         b expect 502
         p does answer
         c send POST k1 01 id=x sent=0
         c expect no refusal
         p expect 1 write k1",
    );
}
