//! Daily operation, with the real program between stand-ins: the console, members that the operators suspend,
//! and upgrades in which a new process takes over the listener.
#![allow(missing_docs)]

mod scenario;
use scenario::run_scenario;

#[test]
fn the_console_answers_each_line_once_and_refuses_unknown_calls() {
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
fn status_fails_while_no_request_could_be_served() {
    // The only member is suspended.
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
fn silent_console_connections_do_not_block_a_caller() {
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
fn the_console_is_reachable_while_clients_hold_all_their_descriptors() {
    // `start small` leaves descriptors for four clients; further connections wait to be accepted.
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
fn a_suspended_member_gets_no_new_requests_and_finishes_open_ones() {
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
fn discovery_updates_do_not_restore_a_suspended_member() {
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
fn the_former_process_leaves_the_listener_open_and_no_request_unread() {
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
fn suspensions_made_at_either_process_apply_to_both_and_to_the_next() {
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
fn concurrent_calls_at_both_processes_are_all_recorded() {
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
fn an_unusable_handover_file_is_skipped() {
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
fn one_process_continues_after_the_other_is_killed() {
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

/// Clients that send requests until they are stopped, and counts of the results.
mod load {
    use linentrail_standins::client::{request_id, ClientAnswer, ClientRequest, PgClient};
    use linentrail_standins::{runtime, wire};
    use std::net::SocketAddr;
    use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
    use std::sync::Arc;

    #[derive(Default)]
    pub struct Results {
        pub served: AtomicU64,
        pub refused: AtomicU64,
        /// Reads that did not return the value of the preceding booking.
        pub stale: AtomicU64,
        /// Connections that ended during a request, or that could not be opened.
        pub broken: AtomicU64,
        /// Requests that failed and may have had their effect.
        pub failed: AtomicU64,
        stopped: AtomicBool,
    }

    impl Results {
        pub fn stop(&self) {
            self.stopped.store(true, Ordering::Relaxed);
        }
    }

    fn add(to: &AtomicU64) {
        to.fetch_add(1, Ordering::Relaxed);
    }

    /// One client: alternates a booking on its own key and a read of that key, which requires the position of
    /// the current time and so has to return the booking. Returns the number of bookings that were served.
    pub fn client(to: SocketAddr, number: usize, results: Arc<Results>) -> tokio::task::JoinHandle<u64> {
        runtime().spawn(async move {
            let (mut conn, mut n, mut written) = (None::<PgClient>, 0u64, 0);
            while !results.stopped.load(Ordering::Relaxed) {
                let mut pg = match conn.take() {
                    Some(pg) => pg,
                    None => match PgClient::connect(to).await {
                        Ok(pg) => pg,
                        Err(_) => {
                            add(&results.broken);
                            continue;
                        }
                    },
                };
                let write = n.is_multiple_of(2);
                let value = (n / 2).to_be_bytes().to_vec();
                let request = ClientRequest {
                    class: if write { "place-order" } else { "my-booking" },
                    key: format!("load{number}"),
                    value: write.then(|| value.clone()),
                    wait_ms: 8_000,
                    after: (!write).then(linentrail_standins::now_ms),
                };
                if pg.send(&wire::query(&request.sql(&request_id()))).await.is_err() {
                    add(&results.broken);
                    continue;
                }
                match pg.answer().await {
                    Ok(ClientAnswer::Served(got)) if write || got == value => {
                        add(&results.served);
                        written += u64::from(write);
                        n += 1;
                    }
                    Ok(ClientAnswer::Served(_)) => {
                        add(&results.stale);
                        n += 1;
                    }
                    Ok(ClientAnswer::Refused(_)) => add(&results.refused),
                    Ok(ClientAnswer::Failed(_)) => add(&results.failed),
                    Err(_) => {
                        add(&results.broken);
                        continue;
                    }
                }
                // Waits, so that a close that directly follows the answer is seen before the next request.
                tokio::time::sleep(std::time::Duration::from_millis(2)).await;
                conn = (!pg.ended().await).then_some(pg);
            }
            written
        })
    }
}

#[test]
fn consecutive_upgrades_under_load_lose_nothing_and_run_nothing_twice() {
    use linentrail_standins::group::Group;
    use linentrail_standins::member::{Capacity, Member};
    use linentrail_standins::proxy::{config, settings, Proxy, Setup};
    use linentrail_standins::registry::entry;
    use std::sync::atomic::Ordering::Relaxed;
    use std::sync::Arc;
    let group = Group::default();
    let members: Vec<Member> =
        [true, false, false].map(|p| Member::start(&group, p, 0, Capacity::default())).into();
    let member_list: Vec<_> = members.iter().enumerate().map(|(i, m)| entry(i, m.address())).collect();
    let listener = Arc::new(std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
    let address = listener.local_addr().expect("an address");
    let shared = std::env::temp_dir().join(format!("linentrail-load-{}", std::process::id()));
    std::fs::create_dir_all(&shared).expect("a folder");
    let mut config = config("127.0.0.1:9", &member_list, settings(), 256, 64);
    config["console"] = "127.0.0.1:0".into();
    let setup = Setup {
        program: env!("CARGO_BIN_EXE_linentrail").into(),
        config,
        echo_log: true,
        listener: Some(listener),
        shared_folder: Some(shared.clone()),
        ..Setup::default()
    };
    let mut proxy = Proxy::start(&setup).expect("the proxy starts");
    let results = Arc::new(load::Results::default());
    let clients: Vec<_> = (0..12).map(|n| load::client(address, n, results.clone())).collect();
    for _ in 0..4 {
        std::thread::sleep(std::time::Duration::from_millis(500));
        let next = Proxy::start(&setup).expect("the next process starts");
        let mut former = std::mem::replace(&mut proxy, next);
        former.signal("TERM").expect("the former process is running");
        assert!(former.wait().expect("the exit status of the former process").success());
    }
    std::thread::sleep(std::time::Duration::from_millis(300));
    results.stop();
    let written: u64 =
        clients.into_iter().map(|c| linentrail_standins::runtime().block_on(c).expect("a client")).sum();
    let counts = [&results.served, &results.refused, &results.stale, &results.broken, &results.failed]
        .map(|c| c.load(Relaxed));
    let [served, _, stale, broken, failed] = counts;
    assert!(served > 100, "{counts:?}");
    assert_eq!((stale, broken, failed), (0, 0, 0), "served, refused, stale, broken, failed: {counts:?}");
    assert_eq!(group.runs(), (written, Vec::new()));
    drop(proxy);
    let _ = std::fs::remove_dir_all(shared);
}

#[test]
fn reloaded_settings_apply_to_both_fronts_and_a_removed_class_is_unknown() {
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
fn an_invalid_configuration_changes_nothing() {
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
fn an_open_request_keeps_the_class_settings_of_its_arrival() {
    // A booking arrives while its class is unsafe, and the class then becomes safe to retry; and the other
    // way round.
    for (before, after, expected) in
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
             p does reset-held
             counts severed 1
             a expect {expected}"
        ));
    }
}

#[test]
fn a_session_reads_through_the_next_process_what_it_wrote_through_the_former() {
    // The replica lags by 600 s, and the read carries no position that would rule the replica out. The former
    // process sends the write's answer when it no longer accepts clients, so that the read can only go
    // through the next process.
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
fn a_session_reads_its_writes_while_the_processes_cannot_share_state() {
    // A folder in the place of a lock file keeps the processes from sharing state; the replica lags by 600 s.
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
fn both_processes_answer_their_requests_when_both_shut_down() {
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
fn the_console_answers_in_time_while_the_core_is_saturated() {
    use linentrail_standins::client::{request_id, ClientRequest, PgClient};
    use linentrail_standins::group::Group;
    use linentrail_standins::member::{Capacity, Member};
    use linentrail_standins::proxy::{config, settings, Proxy, Setup};
    use linentrail_standins::registry::entry;
    use linentrail_standins::{runtime, wire};
    use std::time::Duration;
    // Each connection pipelines sixteen queries at a time without a pause, and the member answers at once.
    let member = Member::start(&Group::default(), true, 0, Capacity::default());
    let mut config = config("127.0.0.1:9", &[entry(0, member.address())], settings(), 1024, 64);
    config["console"] = "127.0.0.1:0".into();
    let program = env!("CARGO_BIN_EXE_linentrail").into();
    let proxy = Proxy::start(&Setup { program, config, echo_log: true, ..Setup::default() });
    let proxy = proxy.expect("the proxy starts");
    let to = proxy.pg;
    let flood = |n: usize| {
        runtime().spawn(async move {
            let mut pg = PgClient::connect(to).await.expect("a connection to the proxy");
            let mut answered = 0u64;
            loop {
                let mut queries = Vec::new();
                for _ in 0..16 {
                    let key = format!("k{n}");
                    let request = ClientRequest {
                        class: "monthly-report",
                        key,
                        value: None,
                        wait_ms: 8_000,
                        after: None,
                    };
                    queries.extend(wire::query(&request.sql(&request_id())));
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
fn a_booking_sent_to_both_processes_runs_once() {
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
fn a_booking_that_ran_through_one_process_does_not_run_again_through_the_other() {
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
