//! Guards against a booking that carries a charge and runs twice: its proxy is killed while it runs, and its client
//! tries again at another proxy, which does not know its repeat id.
#![allow(missing_docs)]

use linentrail_standins::group::Group;
use linentrail_standins::member::{Behaviour, Capacity, Member};
use linentrail_standins::proxy::{config, settings, Proxy, Setup};
use linentrail_standins::registry::entry;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime};

/// Longer than any step takes on a slow machine; only a failure waits this long.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Until the first send of a booking, told in whole seconds, is later than the start of the proxies.
const FIRST_SECOND: Duration = Duration::from_millis(1_100);
/// Index of the class of the bookings.
const BOOKING: usize = 3;

/// What a test changes in the settings.
struct Deployment {
    idempotency: &'static str,
    window_us: u64,
    marks_retry: bool,
}

const CHARGING: Deployment =
    Deployment { idempotency: "non_idempotent", window_us: 5_000_000, marks_retry: true };

/// A member, and proxies that know nothing of each other.
struct World {
    member: Member,
    setup: Setup,
    proxies: Vec<Proxy>,
}

fn world(deployment: &Deployment) -> World {
    let member = Member::start(&Group::default(), true, 0, Capacity::default());
    let mut settings = settings();
    settings["instances"] = 2.into();
    settings["client_habits"] = serde_json::json!({"marks_retry": deployment.marks_retry});
    settings["services"][BOOKING]["idempotency"] = deployment.idempotency.into();
    settings["services"][BOOKING]["group"] = "cell".into();
    settings["services"][BOOKING]["window_us"] = deployment.window_us.into();
    let known = [entry(0, member.address())];
    let setup = Setup {
        program: env!("CARGO_BIN_EXE_linentrail").into(),
        config: config("127.0.0.1:9", &known, settings, 1024, 64),
        odata: true,
        echo_log: true,
        ..Setup::default()
    };
    let proxies = (0..2).map(|_| Proxy::start(&setup).expect("the proxy starts")).collect();
    std::thread::sleep(FIRST_SECOND);
    World { member, setup, proxies }
}

/// One try of a booking.
struct Try<'a> {
    key: &'a str,
    first_sent: SystemTime,
    /// The value of `Skip-Retry`, if the client sends it.
    mark: Option<&'a str>,
}

impl World {
    fn send(&self, proxy: usize, booking: &Try) -> TcpStream {
        let body = format!("{{\"k\":\"{}\",\"v\":\"nwM\"}}", booking.key);
        let mark = booking.mark.map_or(String::new(), |mark| format!("Skip-Retry: {mark}\r\n"));
        let request = format!(
            "POST /records HTTP/1.1\r\nHost: t\r\nSkip-Class: place-order\r\nSkip-Tenant: acme\r\nSkip-Group: 1\r\n\
             Skip-Wait: 12000\r\nRepeatability-Request-ID: id-{}\r\nRepeatability-First-Sent: {}\r\n{mark}\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            booking.key,
            httpdate::fmt_http_date(booking.first_sent),
            body.len()
        );
        let mut stream =
            TcpStream::connect(self.proxies[proxy].odata.expect("an address")).expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
        stream.write_all(request.as_bytes()).expect("the request is written");
        stream
    }

    /// Status of the response to a try.
    fn book(&self, proxy: usize, booking: &Try) -> String {
        let mut response = String::new();
        self.send(proxy, booking).read_to_string(&mut response).expect("a response");
        response.split(' ').nth(1).unwrap_or_default().to_string()
    }

    /// The number of times that the member has run a booking.
    fn runs(&self, key: &str) -> usize {
        self.member.statement_count(&format!("write {key}"))
    }

    /// Sends a booking to the first proxy, which is killed while the member runs it.
    fn book_and_kill(&mut self, booking: &Try) {
        self.member.set_behaviour(Behaviour::Hold);
        let client = self.send(0, booking);
        let began = Instant::now();
        while self.runs(booking.key) == 0 {
            assert!(began.elapsed() < TIMEOUT, "the booking did not reach the member");
            std::thread::sleep(Duration::from_millis(2));
        }
        self.proxies[0].signal("KILL").expect("a signal");
        self.proxies[0].wait().expect("the process ends");
        drop(client);
        self.member.set_behaviour(Behaviour::Answer);
    }
}

#[test]
fn a_charging_booking_runs_again_at_another_proxy_after_a_kill() {
    for wait_ms in [0, 400, 1_500] {
        let mut world = world(&CHARGING);
        let first_sent = SystemTime::now();
        world.book_and_kill(&Try { key: "k1", first_sent, mark: None });
        std::thread::sleep(Duration::from_millis(wait_ms));
        for _ in 0..2 {
            let status = world.book(1, &Try { key: "k1", first_sent, mark: Some("1") });
            assert_eq!((status.as_str(), world.runs("k1")), ("412", 1), "after {wait_ms} ms");
        }
        let counters = world.proxies[1].counters().expect("counters");
        assert_eq!(counters.get("odata_unknown_retries"), Some(&2));
    }
}

/// Guards against a retry that counts as a first try, as clients do not mark them.
#[test]
fn an_unmarked_retry_of_a_charging_booking_runs_again_at_another_proxy() {
    let mut world = world(&Deployment { marks_retry: false, ..CHARGING });
    let first_sent = SystemTime::now();
    world.book_and_kill(&Try { key: "k1", first_sent, mark: None });
    std::thread::sleep(Duration::from_millis(1_500));
    let status = world.book(1, &Try { key: "k1", first_sent, mark: None });
    assert_eq!((status.as_str(), world.runs("k1")), ("412", 1));
}

/// Guards against a retry that nothing tells from a first try, as it comes at once and clients do not mark retries.
#[test]
fn an_unmarked_retry_at_once_runs_a_charging_booking_again_at_another_proxy() {
    let mut world = world(&Deployment { marks_retry: false, ..CHARGING });
    let first_sent = SystemTime::now();
    world.book_and_kill(&Try { key: "k1", first_sent, mark: None });
    let status = world.book(1, &Try { key: "k1", first_sent, mark: None });
    assert_eq!((status.as_str(), world.runs("k1")), ("412", 1));
}

/// Guards against a repeat that members no longer recognize by its key.
#[test]
fn a_keyed_booking_runs_again_at_another_proxy_behind_its_window() {
    for (marks_retry, mark) in [(true, Some("1")), (false, None)] {
        let mut world =
            world(&Deployment { idempotency: "idempotency_key", window_us: 2_500_000, marks_retry });
        let first_sent = SystemTime::now();
        world.book_and_kill(&Try { key: "k1", first_sent, mark: None });
        // Within the window members discard a repeat.
        let status = world.book(1, &Try { key: "k1", first_sent, mark });
        assert_eq!((status.as_str(), world.runs("k1")), ("201", 2), "{mark:?}");
        let keys = world.member.idempotency_keys("write k1");
        assert!(keys[0].is_some() && keys[0] == keys[1], "{keys:?}");
        // The window of another one, which the first proxy's successor has not seen either.
        let late = Try { key: "k2", first_sent, mark };
        std::thread::sleep(Duration::from_millis(2_500));
        assert_eq!((world.book(1, &late).as_str(), world.runs("k2")), ("412", 0), "{mark:?}");
    }
}

/// Guards against a restarted process that takes an id of before for new, as its client's clock is ahead.
#[test]
fn a_charging_booking_of_a_client_whose_clock_is_ahead_runs_again_after_a_restart() {
    let mut world = world(&CHARGING);
    let first_sent = SystemTime::now() + Duration::from_secs(3_600);
    world.book_and_kill(&Try { key: "k1", first_sent, mark: None });
    world.proxies[0] = Proxy::start(&world.setup).expect("the proxy starts");
    let status = world.book(0, &Try { key: "k1", first_sent, mark: Some("1") });
    assert_eq!((status.as_str(), world.runs("k1")), ("412", 1));
}

/// Guards against sound bookings that are rejected: first tries, and retries of what the same proxy has refused or run.
#[test]
fn a_booking_that_can_be_proved_not_to_have_run_is_rejected() {
    for marks_retry in [true, false] {
        let world = world(&Deployment { marks_retry, ..CHARGING });
        let first_sent = SystemTime::now();
        assert_eq!(world.book(0, &Try { key: "k1", first_sent, mark: None }), "201");
        assert_eq!(world.book(1, &Try { key: "k2", first_sent, mark: Some("0") }), "201");
        // The answer of the first try.
        assert_eq!(world.book(0, &Try { key: "k1", first_sent, mark: Some("1") }), "201");
        world.member.set_behaviour(Behaviour::Full);
        let refused = Try { key: "k3", first_sent, mark: Some("0") };
        let refused_status = world.book(0, &refused);
        assert!(matches!(refused_status.as_str(), "503" | "504"), "{refused_status}");
        world.member.set_behaviour(Behaviour::Answer);
        let tries_before = world.runs("k3");
        assert_eq!(world.book(0, &Try { mark: Some("1"), ..refused }), "201");
        assert_eq!(world.runs("k3"), tries_before + 1);
        assert_eq!((world.runs("k1"), world.runs("k2")), (1, 1));
    }
}

/// The cost of the proof: nothing tells a retry whose first try reached no proxy from one that has run. Its client, whose
/// tries all failed without a doubt, books under a new id.
#[test]
fn a_retry_whose_first_try_reached_no_proxy_runs_unproved_or_cannot_be_booked_anew() {
    let world = world(&CHARGING);
    let first_sent = SystemTime::now();
    assert_eq!(world.book(1, &Try { key: "k1", first_sent, mark: Some("1") }), "412");
    assert_eq!(world.runs("k1"), 0);
    assert_eq!(world.book(1, &Try { key: "k2", first_sent, mark: None }), "201");
    assert_eq!(world.runs("k2"), 1);
}

/// Guards against a retry that is rejected although its class may be repeated.
#[test]
fn a_retry_of_a_class_that_may_be_repeated_is_rejected() {
    let mut world = world(&Deployment { idempotency: "read_like", ..CHARGING });
    let first_sent = SystemTime::now();
    world.book_and_kill(&Try { key: "k1", first_sent, mark: None });
    assert_eq!(world.book(1, &Try { key: "k1", first_sent, mark: Some("1") }), "201");
}
