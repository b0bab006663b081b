//! Both fronts of the real program, on loopback, with stand-in clients, members and discovery.
#![allow(missing_docs)]

mod scenario;
use scenario::run_scenario;

#[test]
fn replies_come_in_the_order_of_their_queries() {
    run_scenario(
        "member p primary
         start
         a send raw ;
         a expect error 42601
         a send write k0 9f03
         a expect row 9f03
         a send write k1 9f04
         a send read k0 monthly-report
         a send raw
         a send write k2 9f05
         a expect row 9f04
         a expect row 9f03
         a expect empty
         a expect row 9f05
         p expect 1 write k1
         p expect 1 write k2",
    );
}

#[test]
fn queries_sent_before_terminate_are_answered() {
    run_scenario(
        "member p primary
         start
         p does hold
         a send write k1 01
         a send bye
         p expect 1 write k1
         p does answer
         a expect row 01
         a expect closed",
    );
}

#[test]
fn invalid_statements_and_messages_get_their_sqlstate() {
    run_scenario(
        "member p primary
         start
         a send raw SELECT 1
         a expect error 42601
         a send read k1 no-such-class
         a expect error 22023
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=01,c=yard-board,t=nobody,d=100,cluster=1 */
         a expect error 22023
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=01,c=yard-board,t=acme,cluster=1 */
         a expect error 22023
         b send bytes 0000000800030000
         b expect error 08P01
         c send bytes 00ffffff00030000
         c expect error 54000
         p expect 0 read k1",
    );
}

#[test]
fn a_booking_that_may_have_run_is_neither_sent_again_nor_refused() {
    run_scenario(
        "member p primary
         start
         p does reset
         a send write k1 01
         a expect error XX000
         p does answer
         a send read k1 yard-board
         a expect row 01
         p expect 1 write k1",
    );
}

#[test]
fn a_partially_received_value_is_never_passed_on() {
    // A read would be retried, and served from another member's complete answer. A booking may have run, so it fails with
    // an error.
    run_scenario(
        "member p primary
         start
         p does half
         a send write k1 0102030405060708090a0b0c0d0e0f
         a expect error XX000
         p expect 1 write k1",
    );
}

#[test]
fn a_refusal_carries_a_retry_delay_where_one_is_known() {
    // Nothing shows when a member that turns all away will have capacity; members are asked for their role every 400 ms.
    run_scenario(
        "member p primary
         start odata
         p does full
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=01,c=yard-board,t=acme,d=900,cluster=1 */
         a expect error 53300
         o send GET k1 yard-board Skip-Wait=900
         o expect 503 Retry-After
         p does replica 60000
         a send raw INSERT INTO records (k, v) VALUES ('k2', '\\x01') RETURNING v /* id=02,c=place-order,t=acme,d=350,cluster=1 */
         a expect error 53300 400
         o send POST k2 01 id=x sent=0 Skip-Wait=2000
         o expect 503 Retry-After: 1
         o send POST k2 01 id=y sent=0 Skip-Wait=2000
         o expect 503 Repeatability-Result: accepted",
    );
}

#[test]
fn clients_can_connect_after_sigterm_and_accepted_requests_are_answered() {
    run_scenario(
        "member p primary
         start
         p does hold
         a send write k1 01
         p expect 1 write k1
         stop
         b send read k2 yard-board
         p expect 1 read k2
         p does answer
         a expect row 01
         b expect row -
         a expect closed
         gone",
    );
}

#[test]
fn when_all_client_permits_are_taken_the_longest_idle_client_is_closed() {
    // 40 descriptors leave four permits for clients.
    run_scenario(
        "member p primary
         start small
         a send read k1 yard-board
         a expect row -
         b send read k1 yard-board
         b expect row -
         c send read k1 yard-board
         c expect row -
         d send read k1 yard-board
         d expect row -
         b send read k1 yard-board
         b expect row -
         e send read k1 yard-board
         e expect row -
         a expect closed
         b send read k1 yard-board
         b expect row -",
    );
}

#[test]
fn odata_serves_its_metadata_and_rejects_unsupported_requests() {
    run_scenario(
        "member p primary
         start odata
         o send http GET /
         o expect 200 {\"kind\":\"EntitySet\",\"name\":\"records\",\"url\":\"records\"}
         o send http GET /$metadata
         o expect 200 <EntitySet Name=\"records\" EntityType=\"SkipHire.Record\"/>
         o send http GET /$metadata?$format=json
         o expect 200 \"$Key\":[\"k\"]
         o send http GET /records
         o expect 501 NotImplemented
         o send http GET /records('k1')?$select=v
         o expect 501 $select
         o send http GET /records('k1')?filter=x
         o expect 501 filter
         o send http GET /records('k1')?$nonsense=1
         o expect 400 BadQueryOption
         o send http GET /records('k1')?$format=xml
         o expect 406 NotAcceptable
         o send http GET /records(7)
         o expect 400 BadKey
         o send http GET /records('a%')
         o expect 400 BadUri
         o send http DELETE /records('k1')
         o expect 405 Allow: GET
         o send http GET /nothing
         o expect 404 NotFound
         o send GET k1 yard-board Skip-Class=
         o expect 400 \"target\":\"Skip-Class\"
         o send GET k1 yard-board Skip-Tenant=nobody
         o expect 400 \"target\":\"Skip-Tenant\"
         o send GET k1 place-order
         o expect 400 BadClass
         o send http POST /records Skip-Class=place-order
         o expect 400 BadBody",
    );
}

#[test]
fn refusals_failures_and_missed_deadlines_have_distinct_status_codes() {
    run_scenario(
        "member p primary
         start odata
         p does error
         o send GET k1 yard-board
         o expect 503 Retry-After
         o send POST k1 01 id=e sent=0
         o expect 502 Repeatability-Result: accepted
         p does hold
         o send GET k2 monthly-report Skip-Wait=300
         o expect 504 \"code\":\"Late\"",
    );
}

#[test]
fn a_booking_with_a_charge_needs_a_valid_repeat_id() {
    run_scenario(
        "member p primary
         start odata
         o send POST k1 01
         o expect 400 Repeatability-Result: rejected
         o send POST k1 01 id=x
         o expect 400 rejected
         o send POST k1 01 id=x sent=3600
         o expect 412 RepeatabilityExpired
         o send POST k1 01 id=x sent=0
         o expect 201 Repeatability-Result: accepted
         o send POST k1 02 id=x sent=0
         o expect 412 RepeatabilityConflict
         o send POST k1 01 id=x sent=0 Prefer=return=minimal
         o expect 204 OData-EntityId: /records('k1')
         p expect 1 write k1",
    );
}

#[test]
fn a_booking_is_charged_once_even_if_clients_and_members_reset_connections() {
    run_scenario(
        "member p primary
         member r replica 1
         start odata
         p does hold
         o send POST k1 01 id=x sent=0
         p expect 1 write k1
         o close
         q send POST k1 01 id=x sent=0
         s send POST k1 01 id=x sent=0
         wait 100
         q close
         p does answer
         s expect 201 accepted
         o send POST k1 01 id=x sent=0
         o expect 201 accepted
         p does reset
         o send POST k2 02 id=y sent=0
         o expect 502 accepted
         p does answer
         o send POST k2 02 id=y sent=0
         o expect 502 accepted
         a send write k3 03
         a expect row 03
         p expect 1 write k1
         p expect 1 write k2
         p expect 1 write k3",
    );
}

#[test]
fn a_session_reads_its_last_write_through_either_front() {
    // The replicas lag by a minute and the reads carry no position of their own: only the proxy's record of the
    // session's writes keeps the reads away from the replicas.
    run_scenario(
        "member p primary
         member r replica 60000
         member s replica 60000
         start odata
         a send write k1 01
         a expect row 01
         a send read k1 monthly-report
         a expect row -
         o send GET k1 my-booking
         o expect 200 \"v\":\"AQ\"
         o send POST k1 02 id=x sent=0
         o expect 201 Skip-Commit
         a send read k1 my-booking
         a expect row 02
         o send POST k1 03 id=y sent=0
         wait 30
         o close
         o send POST k1 03 id=y sent=0
         o expect 201
         a send read k1 my-booking
         o send GET k1 my-booking
         a expect row 03
         o expect 200 \"v\":\"Aw\"
         p expect 3 write k1
         o send POST k1 04 id=z sent=0 Skip-Session=s9
         o expect 201
         o send GET k7 my-booking Skip-Session=s9
         o expect 200 \"v\":\"\"
         p expect 1 read k7
         a send read k1 my-booking
         a expect row 04",
    );
}

#[test]
fn members_found_by_dns_sd_leave_when_their_record_is_removed() {
    run_scenario(
        "member p primary
         member r replica 1
         member q replica 1
         dns does list p 4
         dns does list r 4
         dns does broken q 4
         start dnssd
         a send write k1 01
         a expect row 01
         counts dnssd_skipped 1
         p expect 1 write k1
         dns does drop p
         counts list_answers 2
         b send raw INSERT INTO records (k, v) VALUES ('k2', '\\x02') RETURNING v /* id=0f,c=place-order,t=acme,d=700,cluster=1 */
         b expect error 53300 400
         p expect 0 write k2
         dns does list p 4
         b send write k3 03
         b expect row 03
         q expect 0 write k3",
    );
}

#[test]
fn members_whose_dns_records_are_not_renewed_expire() {
    run_scenario(
        "member p primary
         dns does list p 4
         start dnssd
         a send write k1 01
         a expect row 01
         dns does garbage
         counts dnssd_skipped 1
         counts list_answers 2
         b send raw INSERT INTO records (k, v) VALUES ('k2', '\\x02') RETURNING v /* id=0f,c=place-order,t=acme,d=700,cluster=1 */
         b expect error 53300 400
         p expect 0 write k2",
    );
}

#[test]
fn the_dns_sd_records_of_the_odata_front_can_be_printed() {
    let program = env!("CARGO_BIN_EXE_linentrail");
    let out = std::process::Command::new(program).arg("records").output().expect("it runs");
    let text = String::from_utf8(out.stdout).expect("text");
    for part in [
        "_services._dns-sd._udp.",
        "PTR linentrail._odata._tcp.luzon-skip-hub.internal.",
        "SRV 0 0 8080",
        "TXT \"txtvers=1\" \"path=/\"",
        "127.0.0.1",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

#[test]
fn a_leaving_member_gets_no_new_requests() {
    run_scenario(
        "member p primary
         member r replica 1
         start watching
         a send write k0 01
         a expect row 01
         a send read k1 monthly-report
         a expect row -
         r expect 1 read k1
         list expect 1 watches
         list does leaving r
         counts list_answers 1
         list expect heard
         a send read k2 monthly-report
         a expect row -
         p expect 1 read k2
         list does left r
         counts list_answers 2
         list expect heard
         list does active r
         counts list_answers 3
         list expect heard
         a send read k3 monthly-report
         a expect row -
         r expect 1 read k3",
    );
}

#[test]
fn a_failed_watch_is_resumed_without_fetching_the_whole_list() {
    // A whole list costs discovery many times as much as a watch, so a failed watch is restarted from the known version.
    // The proxy must still learn that a member is leaving.
    for ill in ["overbooked", "reset"] {
        run_scenario(&format!(
            "member p primary
             member r replica 1
             list does {ill}
             start watching
             counts list_failures 2
             a send write k0 01
             a expect row 01
             list does well
             list does leaving r
             counts list_answers 1
             list expect heard
             a send read k1 monthly-report
             a expect row -
             r expect 0 read k1
             list expect 0 whole"
        ));
    }
}

#[test]
fn an_unusable_list_is_dropped_and_known_members_keep_serving() {
    for ill in ["cut", "noise", "older", "many"] {
        let counter = if ill == "cut" { "list_failures" } else { "list_dropped" };
        run_scenario(&format!(
            "member p primary
             member r replica 1
             list does {ill}
             start watching
             counts {counter} 1
             a send write k0 01
             a expect row 01
             a send read k1 monthly-report
             a expect row -
             p expect 1 write k0
             list does well
             list does leaving r
             counts list_answers 1"
        ));
    }
}

#[test]
fn known_members_serve_while_discovery_does_not_answer() {
    run_scenario(
        "member p primary
         member r replica 1
         list does silent
         start watching
         list expect 1 watches
         a send write k0 01
         a expect row 01
         a send read k1 monthly-report
         a expect row -
         counts served 2",
    );
}

#[test]
fn watches_that_return_nothing_at_once_are_rate_limited() {
    run_scenario(
        "member p primary
         list does hasty
         start watching
         list expect 2 watches
         wait 600
         counts list_answers under 40
         list does well
         list does leaving p
         counts list_answers 3",
    );
}

#[test]
fn replaced_members_leave_no_connection_behind() {
    // Six of seven members leave at almost the same time, each with a read in progress. Their state is dropped with the
    // first list after 5 s; an idle connection to the remaining member may stay.
    let each = |line: &str| (0..6).map(|n| line.replace('#', &n.to_string()) + "\n").collect::<String>();
    run_scenario(&format!(
        "member p primary
         {}start watching
         list expect 1 watches
         descriptors noted
         {}{}descriptors more 12
         {}{}{}wait 5200
         list does active p
         counts list_answers 2
         list expect heard
         descriptors back 1",
        each("member r# replica 1"),
        each("r# does hold"),
        each("c# send raw SELECT v FROM records WHERE k = 'k' /* id=0#,c=monthly-report,t=acme,d=900,cluster=1 */\nwait 60"),
        each("list does left r#"),
        each("r# does reset"),
        each("c# close"),
    ));
}

#[test]
fn an_older_whole_list_is_accepted_only_when_discovery_repeats_it() {
    let list = |generation: u64, reset: bool| serde_json::json!({"generation": generation, "reset": reset, "instances": []});
    let mut lists = linentrail::net::discovery::ListReader::new(vec![]);
    assert!(lists.read(&list(9, true), None).is_some());
    assert!(lists.read(&list(8, true), Some(9)).is_none());
    assert!(lists.read(&list(8, false), Some(9)).is_none(), "changes relative to a different history");
    assert!(lists.read(&list(8, true), Some(9)).is_none() && lists.read(&list(8, true), Some(9)).is_none());
    assert!(lists.read(&list(8, true), Some(9)).is_some(), "discovery has restarted its numbering");
    assert!(
        lists.read(&list(8, true), Some(9)).is_none(),
        "the count starts again once an older list is accepted"
    );
    assert!(lists.read(&list(10, true), Some(9)).is_some());
}

#[test]
fn a_connection_near_its_idle_limit_is_closed_rather_than_written_to() {
    // At the limit the member's machine would answer with a reset, and a booking lost in this way may not be retried.
    run_scenario(
        "member p primary
         start brief
         a send write k1 01
         a expect row 01
         counts member_idle_closed 1
         a send write k2 02
         a expect row 02
         counts member_connections 2
         p expect 1 write k2",
    );
}

#[test]
fn the_reported_lag_of_a_replica_is_not_trusted_for_a_read_of_a_new_write() {
    // According to its last report the replica is 1 ms behind. The read carries no position, so the replica would
    // answer it with the data it has.
    run_scenario(
        "member p primary
         member r replica 1
         start odata
         a send write k0 01
         a expect row 01
         wait 50
         a send read k0 monthly-report
         a expect row 01
         r does replica 60000
         o send POST k1 02 id=x sent=0
         o expect 201
         wait 50
         a send read k1 my-booking
         a expect row 02
         r expect 0 read k1",
    );
}

#[test]
fn an_unnoticed_loss_of_the_primary_role_causes_no_stale_session_read() {
    // The read goes to the member last known as primary, whose answer shows that it is behind. The deadline leaves time
    // for a probe of the replica first, should one be sent.
    run_scenario(
        "member p primary
         member r replica 60000
         start odata
         o send POST k1 02 id=x sent=0
         o expect 201
         p does replica 60000
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=0f,c=my-booking,t=acme,d=3000,cluster=1 */
         a expect error 53300
         counts stale_caught 1
         p expect 1 read k1
         p does primary
         a send read k1 my-booking
         a expect row 02",
    );
}

#[test]
fn a_client_that_expects_100_continue_gets_it() {
    run_scenario(
        "member p primary
         start odata
         o send wire POST /records HTTP/1.1\\nSkip-Class: place-order\\nSkip-Tenant: acme\\nSkip-Group: 1\\nContent-Length: 2\\nExpect: 100-continue\\n\\n
         o expect 100 Continue
         o send wire {}
         o expect 400 \"target\":\"k\"",
    );
}

#[test]
fn malformed_http_gets_an_odata_error() {
    run_scenario(
        "member p primary
         start odata
         o send wire GET /\\n\\n
         o expect 400 {\"error\":{\"code\":\"BadRequest\"
         q send wire POST /records HTTP/1.1\\nContent-Length: 9999999\\n\\n
         q expect 413 Connection: close
         s send wire POST /records HTTP/1.1\\nContent-Length: 1\\nTransfer-Encoding: chunked\\n\\n
         s expect 400 BadRequest
         u send wire GET / HTTP/1.1\\n\\nGET /$metadata HTTP/1.1\\n\\n
         u expect 200 EntitySet
         u expect 200 edmx
         counts odata_bad 3",
    );
}

#[test]
fn sighup_reloads_the_discovery_address_and_ends_the_open_watch() {
    // The environment variable still names the old address, where a watch would never be answered.
    run_scenario(
        "member p primary
         member r replica 1
         start watching
         list expect 1 watches
         list does move
         config does half
         hup
         counts reloads_failed 1
         a send write k1 01
         a expect row 01
         config does whole
         hup
         counts reloads 1
         counts list_answers 1
         list does leaving r
         counts list_answers 2
         list expect heard
         a send read k1 monthly-report
         a expect row 01
         p expect 1 read k1
         list does move
         config does whole
         hup
         hup
         counts reloads 2
         counts list_answers 3
         list does active r
         counts list_answers 4
         list expect heard
         a send read k1 monthly-report
         a expect row 01
         r expect 1 read k1
         stop
         hup
         gone",
    );
}

#[test]
fn a_request_with_a_long_deadline_outlasts_a_planned_restart() {
    // The deadline of its class is 15 s; new clients are accepted for 3 s after SIGTERM.
    run_scenario(
        "member p primary
         start
         p does hold
         a send write k1 01
         p expect 1 write k1
         stop
         wait 6600
         p does answer
         a expect row 01
         a expect closed
         gone",
    );
}

#[test]
fn a_silent_or_unfinished_client_is_closed_within_three_seconds() {
    // a sends nothing, b nothing after its startup; c sends part of its startup, d part of its first message, and e part
    // of a message after it has been served.
    run_scenario(
        "member p primary
         start
         e send read k1 yard-board
         e expect row -
         a send bytes
         b send hello
         c send bytes 00000064000300
         d send hello
         d send bytes 5100000040
         e send bytes 5100000040
         clock
         a expect error 57P03
         a expect closed
         b expect error 57P03
         b expect closed
         c expect error 08P01
         c expect closed
         d expect error 08P01
         d expect closed
         e expect error 08P01
         e expect closed
         within 3000
         counts closed_silent 2
         counts pg_unfinished 3",
    );
}

#[test]
fn invalid_messages_get_an_error_and_then_a_close() {
    // An unknown message, one with bytes after its text, a negative length, and an extended-protocol message. The last
    // two clients keep sending.
    run_scenario(
        "member p primary
         start
         a send hello
         a send bytes 7a00000004
         a expect error 08P01
         a expect closed
         b send hello
         b send bytes 51000000083b00ffff
         b expect error 08P01
         b expect closed
         c send hello
         c send bytes 51fffffff0
         c send flood 400000
         c expect error 54000
         c expect closed
         d send hello
         d send bytes 500000000861000000
         d send raw
         d send sync
         d expect error 0A000
         d send read k1 yard-board
         d expect row -
         counts pg_malformed 3",
    );
}

#[test]
fn queries_before_an_invalid_message_are_answered_first() {
    run_scenario(
        "member p primary
         start
         p does hold
         a send read k1 yard-board
         a send write k2 01
         a send bytes 7a00000004
         p expect 1 write k2
         wait 100
         p does answer
         a expect row -
         a expect row 01
         a expect error 08P01
         a expect closed
         counts closed_after_fault 1",
    );
}

#[test]
fn statements_with_invalid_fields_never_reach_a_member() {
    run_scenario(
        "member p primary
         start
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=01,c=yard-board,t=acme,d=-5,cluster=1 */
         a expect error 22023
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=01,c=yard-board,t=acme,d=+5,cluster=1 */
         a expect error 22023
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=01,c=yard-board,t=acme,d=0,cluster=1 */
         a expect error 22023
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=,c=yard-board,t=acme,d=5,cluster=1 */
         a expect error 22023
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=0 1,c=yard-board,t=acme,d=5,cluster=1 */
         a expect error 22023
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=01,id=02,c=yard-board,t=acme,d=500,cluster=1 */
         a expect error 42601
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=01,c=yard-board,t=acme,d=500,cluster=1 */ DELETE FROM records /* */
         a expect error 42601
         p expect 0 read k1",
    );
}

#[test]
fn the_id_of_an_open_request_is_not_served_twice() {
    run_scenario(
        "member p primary
         start
         p does hold
         a send raw SELECT v FROM records WHERE k = 'k1' /* id=0a,c=yard-board,t=acme,d=12000,cluster=1 */
         p expect 1 read k1
         b send raw SELECT v FROM records WHERE k = 'k2' /* id=0a,c=yard-board,t=acme,d=12000,cluster=1 */
         b expect error 42710
         p does answer
         a expect row -
         b send raw SELECT v FROM records WHERE k = 'k2' /* id=0a,c=yard-board,t=acme,d=12000,cluster=1 */
         b expect row -
         p expect 1 read k2",
    );
}

#[test]
fn silent_clients_are_closed_to_free_permits_before_served_ones() {
    // 40 descriptors leave four permits for clients. A client is silent if it has sent nothing for 200 ms.
    run_scenario(
        "member p primary
         start small
         a send read k1 yard-board
         a expect row -
         b send bytes
         c send bytes
         d send bytes
         counts pg_connections 4
         wait 300
         e send read k1 yard-board
         e expect row -
         b expect error 53300
         b expect closed
         f send bytes
         c expect error 53300
         c expect closed
         a send read k1 yard-board
         a expect row -",
    );
}

#[test]
fn all_connections_together_hold_no_more_bytes_than_memory_allows() {
    // 16 MiB leave 2 MiB for messages. 20 messages that each announce 120,000 bytes exceed that, though few bytes arrive.
    let mut script = "member p primary\nstart scant\n".to_string();
    for i in 0..20 {
        script.push_str(&format!("c{i} send hello\nc{i} send bytes 510001d4c0\n"));
    }
    script
        .push_str("counts pg_no_room 3\nc19 expect error 53300\nc19 expect error 08P01\nc19 expect closed\n");
    script.push_str("c0 expect error 08P01\nc0 expect closed\na send read k1 yard-board\na expect row -");
    run_scenario(&script);
}

#[test]
fn bytes_after_an_answer_are_not_taken_for_the_next_answer() {
    // The value itself is valid. In the second part the copy arrives while the connection is idle.
    run_scenario(
        "member p primary
         start
         p does twice
         a send write k1 01
         a expect row 01
         p does answer
         a send write k2 02
         a expect row 02
         p does after
         a send write k3 03
         a expect row 03
         wait 60
         p does answer
         a send write k4 04
         a expect row 04
         p expect 1 write k4
         counts member_extras 1",
    );
}

#[test]
fn a_corrupt_refusal_does_not_prove_that_nothing_ran() {
    // If it were trusted, it would be passed on as a refusal and the booking be retried, though it may have run.
    run_scenario(
        "member p primary
         start
         p does noisy
         a send write k1 01
         a expect error XX000
         p does unready
         a send write k2 01
         a expect error XX000
         p does swapped
         a send write k3 01
         a expect error XX000
         p does answer
         a send write k4 01
         a expect row 01
         p expect 1 write k1
         p expect 1 write k2
         p expect 1 write k3
         counts member_spoilt 2",
    );
}

#[test]
fn an_answer_that_stalls_fails_before_the_deadline() {
    // The booking's own deadline is 12 s.
    run_scenario(
        "member p primary
         start
         p does stall
         clock
         a send write k1 01
         a expect error XX000
         within 4000
         p expect 1 write k1
         counts member_spoilt 1",
    );
}

#[test]
fn an_impossible_report_is_ignored() {
    // The replica's report claims the primary role, at a position beyond all others.
    run_scenario(
        "member p primary
         member r replica 1
         start
         r does boast
         a send write k1 01
         a expect row 01
         counts member_bad_reports 1
         a send write k2 02
         a expect row 02
         r expect 0 write k2",
    );
}

#[test]
fn ids_of_members_that_left_are_forgotten_after_a_while_and_not_before() {
    use linentrail::net::discovery::ListReader;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.unwrap().block_on(async {
        let mut lists = ListReader::new(vec![]);
        let list = |ids: std::ops::Range<u32>, whole: bool, lifecycle: &str| {
            let entry = |i| {
                serde_json::json!({"instanceId": format!("s-{i:08x}"), "hostPort": "127.0.0.1:1", "cell": 1,
                    "lifecycle": lifecycle})
            };
            let all: Vec<_> = ids.map(entry).collect();
            serde_json::json!({"generation": 1, "reset": whole, "instances": all})
        };
        lists.read(&list(0..100, true, "active"), None).unwrap();
        lists.read(&list(0..50, false, "left"), Some(1)).unwrap();
        lists.read(&list(98..100, true, "active"), Some(1)).unwrap();
        assert_eq!(lists.numbers.count(), 100, "their last attempts may still end");
        tokio::time::advance(std::time::Duration::from_secs(61)).await;
        lists.read(&list(0..0, false, "active"), Some(1)).unwrap();
        assert_eq!(lists.numbers.count(), 2);
    });
}

#[test]
fn odata_requests_share_the_byte_budget_and_time_out() {
    // 16 MiB leave 2 MiB for messages of both fronts. Clients of both fronts hold their incomplete messages for 2 s.
    let mut script = "member p primary\nstart odata scant\n".to_string();
    for i in 0..20 {
        script.push_str(&format!("o{i} send wire POST /records HTTP/1.1\\nContent-Length: 120000\\n\\n\n"));
    }
    script.push_str(
        "a send hello\na send bytes 510001d4c0\no19 expect 503 Retry-After\na expect error 53300\n",
    );
    script.push_str("o0 expect 408 Unfinished\nb send read k1 yard-board\nb expect row -");
    run_scenario(&script);
}

#[test]
fn idle_clients_are_closed_to_leave_permits_for_others() {
    // 60 descriptors leave 15 permits for clients, of which 10 may be idle: no client ever lacks a permit here.
    let mut script = "member p primary\nstart few\n".to_string();
    for i in 0..12 {
        script.push_str(&format!("c{i} send read k1 yard-board\nc{i} expect row -\n"));
    }
    script.push_str(
        "c0 expect closed\ncounts closed_to_make_room 2\nc11 send read k1 yard-board\nc11 expect row -",
    );
    run_scenario(&script);
}
