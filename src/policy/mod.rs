//! Decisions, without I/O and without a clock: whoever asks says what time it is.

pub mod begin;
pub mod invariants;
pub mod member_clock;
