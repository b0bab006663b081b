//! Decisions, without I/O and without a clock: whoever asks says what time it is. Types, events and actions stand in
//! `src/interface.rs`.
//!
//! | module | decides |
//! | --- | --- |
//! | `router` | takes in events and makes a step |
//! | `dispatch` | what is sent now of what is held, and what is given up |
//! | `reads` | which replica a read goes to |
//! | `primary` | who is primary, and what goes there |
//! | `health` | whether a member can be used, and how much a cold one gets |
//! | `attempts` | whether a request may be sent again or refused; ends and final answers |
//! | `membership` | what a member list changes |
//! | `timers` | when the next wake-up is due |
//! | `list_calls` | when discovery is called, and whether the list may still be gone by |
//! | [`begin`] | whether an attempt may begin, right before its first byte |
//! | [`invariants`] | rules checked again where decisions are carried out |
//! | [`member_clock`] | how far the members' clock is from this process's |
//!
//! `state` is what the router remembers, `tuning` its constants.

mod attempts;
pub mod begin;
mod dispatch;
mod health;
pub mod invariants;
pub(crate) mod list_calls;
pub mod member_clock;
mod membership;
mod primary;
mod reads;
mod router;
mod slow_start;
pub(crate) mod state;
mod timers;
mod tuning;

pub use router::Router;
pub(crate) use tuning::REPORT_ROUNDING;
