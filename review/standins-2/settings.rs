//! Configurations of small deployments, in the platform's form.

use crate::discovery::{list_json, Entry};
use std::net::SocketAddr;

/// A deployment like our own: four classes, orders must never run twice, lists are asked for.
pub fn own() -> String {
    r#"{"client_habits":{"marks_retry":true},"discovery":"subscribe","instances":3,"my_zone":0,"period_us":5000,
    "zones":["makati-dc","pasig-dc"],"layers":"booking-db","tier":0,"slot_no":0,"service_type":"replicas",
    "worth_by":"request","weight_source":"nominal","over_share_worth":0.05,
    "family_info":{"catch_up_wait_us":0,"counted_from_us":0,"list_role":"off","max_age_us":[3000000,0,0,0],
      "needs_by_class":["bounded","session","any","write"],"session_marks":"carried","tells_position":true,
      "waits_for_copy":false,"when_behind":"refuse"},
    "services":[
      {"name":"yard-board","aim_us":200000,"deadline_us":500000,"group":"all","idempotency":"read_like","importance":1.0,"late_value":0.0,"stream":false,"window_us":5000000},
      {"name":"my-booking","aim_us":300000,"deadline_us":1200000,"group":"all","idempotency":"read_like","importance":2.0,"late_value":0.2,"stream":false,"window_us":5000000},
      {"name":"monthly-report","aim_us":250000,"deadline_us":750000,"group":"all","idempotency":"read_like","importance":2.0,"late_value":0.0,"stream":false,"window_us":5000000},
      {"name":"place-order","aim_us":1000000,"deadline_us":3000000,"group":"all","idempotency":"non_idempotent","importance":3.0,"late_value":0.5,"stream":false,"window_us":5000000}],
    "tenants":[{"name":"bigkis-haulers","quota_rps":268.0,"share":0.54},{"name":"masipag-skips","quota_rps":139.0,"share":0.28},{"name":"tala-bins","quota_rps":89.0,"share":0.18}],
    "load_info":{"fields":["x0","x1","q"],"via":"on_probe"},
    "limits":{"cancelling":true,"connect_timeout_us":250000,"keepalive_us":30000000,"max_attempts":8,"max_open":24370,"max_retry_after_us":2000000,"peers":false,"probing":true,"retry_after":true,"second_copies":true,"streams_per_conn":1},
    "rules":{"ask_every_us":10000000,"cold_share":0.15,"drain_grace_us":500000,"fall_multiple":2.0,"fall_us":1500000,"grace_to_answer_us":20000,"warm_after_us":18000000}}"#.to_string()
}

/// A deployment like that of the second organisation: lists are pushed and show roles late, a session's read says
/// nothing of its writes, activations carry a key. Unlike there, members don't look at how far they are behind.
pub fn second() -> String {
    r#"{"client_habits":{"marks_retry":false},"discovery":"automatic","instances":3,"my_zone":0,"period_us":5000,
    "zones":["gasan","pangyo","ilsan"],"layers":"activation-db","tier":0,"slot_no":0,"service_type":"replicas",
    "worth_by":"request","weight_source":"nominal","over_share_worth":0.1,
    "family_info":{"catch_up_wait_us":0,"counted_from_us":0,"list_role":"late","max_age_us":[3000000,0,0],
      "needs_by_class":["bounded","session","write"],"session_marks":"remembered","tells_position":true,
      "waits_for_copy":false,"when_behind":"off"},
    "services":[
      {"name":"status-view","aim_us":250000,"deadline_us":1000000,"group":"all","idempotency":"read_like","importance":1.0,"late_value":0.0,"stream":false,"window_us":2000000},
      {"name":"own-check","aim_us":200000,"deadline_us":600000,"group":"all","idempotency":"read_like","importance":3.0,"late_value":0.0,"stream":false,"window_us":2000000},
      {"name":"activate","aim_us":600000,"deadline_us":2000000,"group":"cell","idempotency":"idempotency_key","importance":6.0,"late_value":0.3,"stream":false,"window_us":2000000}],
    "tenants":[{"name":"daehan-mobile","quota_rps":200.0,"share":0.59},{"name":"nuri-tel","quota_rps":70.0,"share":0.21},{"name":"saebom-mvno","quota_rps":68.0,"share":0.2}],
    "load_info":{"fields":["x0","x1","rif"],"via":"on_probe"},
    "limits":{"cancelling":true,"connect_timeout_us":250000,"keepalive_us":30000000,"max_attempts":10,"max_open":24370,"max_retry_after_us":2000000,"peers":false,"probing":true,"retry_after":false,"second_copies":false,"streams_per_conn":1},
    "rules":{"ask_every_us":10000000,"cold_share":0.2,"drain_grace_us":2000000,"fall_multiple":2.5,"fall_us":2000000,"grace_to_answer_us":20000,"warm_after_us":17000000}}"#.to_string()
}

/// The configuration of one proxy.
pub fn config(
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &[Entry],
    settings: &str,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\n\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\n\"known\":{},\n\"settings\":{settings}}}\n",
        list_json(41, true, known)
    )
}

/// The operators' file with the OData front at this address, if there is one.
pub fn operators(odata: Option<SocketAddr>) -> String {
    odata.map_or(String::new(), |address| {
        format!("odata {{\n  enabled = true\n  listen = \"{address}\"\n}}\n")
    })
}
