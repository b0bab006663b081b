//! The adapter's binary: input transcripts and the expected output.
#![allow(missing_docs)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_linentrail-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start");
    child.stdin.take().expect("stdin").write_all(input.as_bytes()).expect("write");
    child.wait_with_output().expect("wait")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("utf-8")
}

fn configure(who: &str) -> String {
    format!(
        "FOR who={who}\nCONFIGURE entropy=5 new.key=1 discovery=automatic family_info.catch_up_wait_us=0 \
         family_info.counted_from_us=1000 family_info.list_role=start family_info.max_age_us=500000,0 \
         family_info.needs_by_class=bounded,write family_info.session_marks=carried \
         family_info.when_behind=off instances=2 limits.cancelling=true limits.max_attempts=4 \
         limits.probing=true limits.retry_after=true limits.max_retry_after_us=900000 \
         limits.second_copies=false my_zone=0 period_us=1000 rules.cold_share=0.2 rules.drain_grace_us=1000 \
         rules.fall_multiple=2.0 rules.fall_us=1000000 rules.warm_after_us=9000000 services.count=2 \
         services.0.aim_us=100000 services.0.deadline_us=400000 services.0.idempotency=read_like \
         services.0.importance=1 services.0.late_value=0 services.1.aim_us=100000 \
         services.1.deadline_us=400000 services.1.idempotency=non_idempotent services.1.importance=2 \
         services.1.late_value=0.3\n\
         ROSTER buffer=0 members_list=2\n\
         ROW member=7 area=0 sku=0 group=4 condition=IN head=1 capacity_hint=1\n\
         ROW member=8 area=0 sku=0 group=4 condition=IN head=0 capacity_hint=1 up_since_us=0\n\
         DISCOVERY buffer=0 seq_no=1 mode=disk\n"
    )
}

fn write_request(id: &str) -> String {
    format!("REQUEST op_id={id} priority=1 session=k client_deadline_us=5400000 cluster=4 other=9\n")
}

#[test]
fn a_write_goes_to_the_primary_and_its_failure_is_answered() {
    let input = format!(
        "TURN now_us=4000000\n{}EOF_BATCH\nTURN now_us=5000000\nFOR who=driver-0\n{}EOF_BATCH\n\
         TURN now_us=5003000\nFOR who=driver-0\nATTEMPT_END op_id=00000000000000aa spent_us=2000 member=7 \
         code=errored leg=0 note=16009 telemetry=x0:3.9,x1:1,strange:4\nEOF_BATCH\n",
        configure("driver-0"),
        write_request("00000000000000aa")
    );
    let out = run_adapter(&input);
    assert!(out.status.success(), "{}", text(&out.stderr));
    let lines = text(&out.stdout);
    let lines: Vec<&str> = lines.lines().filter(|l| !l.starts_with("SLEEP")).collect();
    let expected = [
        "EOR",
        "INSTANCE who=driver-0",
        "SEND op_id=00000000000000aa member=7",
        "EOR",
        "INSTANCE who=driver-0",
        "ABORT op_id=00000000000000aa",
        "EOR",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn instances_act_the_same_together_and_apart() {
    let batch = |who: &[&str]| {
        let mut input = "TURN now_us=5000000\n".to_string();
        for w in who {
            input += &configure(w);
            input += &write_request("00000000000000aa");
        }
        text(&run_adapter(&(input + "EOF_BATCH\n")).stdout).replace("EOR\n", "")
    };
    assert_eq!(batch(&["driver-0", "driver-1"]), batch(&["driver-0"]) + &batch(&["driver-1"]));
}

#[test]
fn a_detached_instance_writes_nothing_more() {
    let input = format!(
        "TURN now_us=5000000\n{}{}DETACH\nEOF_BATCH\n",
        configure("driver-0"),
        write_request("00000000000000aa")
    );
    assert_eq!(text(&run_adapter(&input).stdout), "EOR\n");
}

#[test]
fn malformed_lines_end_the_adapter_with_one_message() {
    let start = format!("TURN now_us=5000000\n{}", configure("driver-0"));
    for (line, words) in [
        ("REQUEST op_id=zz priority=1 client_deadline_us=9 cluster=4", ["REQUEST", "op_id", "zz"]),
        ("REQUEST op_id=00000000000000aa client_deadline_us=9 cluster=4", ["REQUEST", "priority", "missing"]),
        ("HANGUP op_id", ["HANGUP", "op_id", "name=value"]),
        ("DUE ref=-1", ["DUE", "ref", "-1"]),
        ("PROBED code=fine member=7", ["PROBED", "code", "fine"]),
        ("PROBED code=completed member=4294967296", ["PROBED", "member", "4294967296"]),
        ("DISCOVERY buffer=3 seq_no=2 mode=snapshot", ["DISCOVERY", "buffer", "3"]),
        ("NONSENSE a=1", ["NONSENSE", "no such", "message"]),
        ("TURN now_us=1", ["TURN", "out of", "place"]),
    ] {
        let out = run_adapter(&format!("{start}{line}\nEOF_BATCH\n"));
        assert_eq!(out.status.code(), Some(1), "{line}");
        assert!(out.stdout.is_empty(), "{line}: a partial reply");
        let message = text(&out.stderr);
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(words.iter().all(|w| message.contains(w)), "{line}: {message}");
    }
}

#[test]
fn a_malformed_removal_setting_is_refused_and_an_absent_one_is_false() {
    let with = |value: &str| {
        let configure = configure("driver-0")
            .replace("rules.cold_share", &format!("rules.removal_not_binding={value} rules.cold_share"));
        // The primary is listed as removed; a write still goes to it only where removal is not binding.
        let gone = "ROSTER buffer=1 members_list=1\nROW member=7 area=0 sku=0 group=4 condition=OUT head=1\n\
                    DISCOVERY buffer=1 seq_no=2 mode=diff\n";
        run_adapter(&format!(
            "TURN now_us=4000000\n{configure}{gone}EOF_BATCH\n\
             TURN now_us=5000000\nFOR who=driver-0\n{}EOF_BATCH\n",
            write_request("00000000000000aa")
        ))
    };
    let sent_to_primary = |out: &Output| text(&out.stdout).contains("member=7\n");
    assert!(sent_to_primary(&with("true")) && sent_to_primary(&with("1")));
    assert!(!sent_to_primary(&with("false")) && with("0").status.success());
    let bad = with("perhaps");
    assert_eq!(bad.status.code(), Some(1));
    assert!(text(&bad.stderr).contains("removal_not_binding") && bad.stdout.is_empty());
}

#[test]
fn the_end_of_input_is_clean_between_batches_only() {
    assert!(run_adapter("").status.success());
    assert!(run_adapter("TURN now_us=1\nEOF_BATCH\n").status.success());
    assert!(!run_adapter("TURN now_us=1\n").status.success());
}
