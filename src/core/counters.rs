//! Counters of connections, requests, attempts and answers, printed on SIGUSR1 and at exit.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// The counters.
        #[allow(non_camel_case_types, missing_docs)]
        #[derive(Debug, Clone, Copy)]
        pub enum Count { $($name),* }
        const NAMES: &[&str] = &[$(stringify!($name)),*];
        static COUNTS: [AtomicU64; NAMES.len()] = [const { AtomicU64::new(0) }; NAMES.len()];
    };
}

counters!(
    pg_connections,
    pg_requests,
    pg_malformed,
    pg_oversized,
    pg_unfinished,
    pg_no_room,
    pg_unanswered,
    connections_closed,
    closed_by_client,
    closed_broken,
    closed_after_fault,
    closed_silent,
    closed_idle,
    closed_to_make_room,
    closed_at_shutdown,
    closed_refused,
    closed_dropped,
    refused_starting,
    refused_no_permit,
    refused_ending,
    taken_ids,
    without_key,
    odata_connections,
    odata_requests,
    odata_bad,
    odata_joined,
    odata_replayed,
    odata_conflicts,
    odata_unprovable,
    odata_unknown_retries,
    odata_elsewhere,
    repeat_ids_unshared,
    stale_caught,
    served,
    refused,
    given_up_no_time,
    given_up_in_vain,
    given_up_not_repeatable,
    given_up_list_unconfirmed,
    given_up_no_room,
    failed,
    late,
    left,
    attempts,
    slow_start_attempts,
    slow_start_repeats,
    role_trials,
    completed,
    errored,
    saturated,
    overdue,
    connect_failed,
    severed,
    recalled,
    superseded,
    withdrawn,
    withheld_withdrawn,
    withheld_rules_lapsed,
    withheld_forgotten,
    withheld_too_old,
    withheld_late,
    withheld_client_gone,
    orders_dropped,
    violations,
    answers_lost,
    written_late,
    handover_commits_failed,
    member_clock_offsets,
    accept_failures,
    local_failures,
    missed,
    member_connections,
    member_idle_closed,
    member_no_seat,
    member_spoilt,
    member_unreadable,
    member_extras,
    member_bad_reports,
    probes,
    probes_failed,
    list_answers,
    list_failures,
    list_dropped,
    list_bad_entries,
    list_moves,
    reloads,
    reloads_failed,
    dnssd_skipped,
    flows,
    flows_broken,
    flows_given_up,
    flows_padded,
    console_connections,
    console_calls,
    console_refused,
    console_made_room,
    handovers,
    handover_files_passed_over,
    store_lost,
    store_torn,
    store_foreign,
    store_newer,
    store_rolled_back,
    store_snapshots,
    store_failures,
    store_settings_taken,
    store_list_taken,
    input_waited_longest_us,
    work_long,
    work_longest_us,
    core_step_longest_us,
    list_read_longest_us,
    reload_longest_us,
    phase_overstays,
    full_service,
    full_service_ms,
    agreement_datagrams,
    agreement_dropped,
    agreement_lapses,
    agreement_turns,
    agreement_fetches,
    agreement_failures,
    agreement_lists,
);

/// Increments a counter by one.
pub fn count(what: Count) {
    add(what, 1);
}

/// Increments a counter.
pub fn add(what: Count, more: u64) {
    COUNTS[what as usize].fetch_add(more, Ordering::Relaxed);
}

/// Raises a counter that holds a maximum, and returns whether it was lower.
pub fn raise(what: Count, value: u64) -> bool {
    COUNTS[what as usize].fetch_max(value, Ordering::Relaxed) < value
}

/// Current value of a counter.
pub fn counter_value(what: Count) -> u64 {
    COUNTS[what as usize].load(Ordering::Relaxed)
}

/// All counters that are not zero, on one line.
pub fn nonzero_line() -> String {
    let all = NAMES.iter().zip(&COUNTS).map(|(n, c)| (n, c.load(Ordering::Relaxed)));
    let some: Vec<String> = all.filter(|(_, c)| *c > 0).map(|(n, c)| format!("{n}={c}")).collect();
    some.join(" ")
}
