//! Routing decisions, without I/O and without a clock: callers pass in the current time. The types of
//! settings, events and actions are in `src/interface.rs`.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `router` | applies events and runs one step |
//! | `dispatch` | what to send now of the held requests, and what to give up |
//! | `reads` | which replica serves a read |
//! | `primary` | which member is the primary, and what is sent to it |
//! | `health` | whether a member can be used, and how much load it gets |
//! | `group_context` | what the choice of a member needs to know of the whole group, found once a request |
//! | `slow_start` | the load budget of members that have just started |
//! | `attempts` | whether a request may be sent again or refused; ends of attempts and final answers |
//! | `membership` | the effect of a member list |
//! | `timers` | when the next wake-up is due |
//! | `list_calls` | when discovery is called, and how long an unconfirmed list may be used |
//! | [`begin`] | whether an attempt may begin, checked right before its first byte |
//! | [`invariants`] | rules that are checked again where decisions are carried out |
//! | [`repeat_proof`] | whether a booking whose repeat id is not known here may run |
//! | [`member_clock`] | the offset between the members' clock and that of this process |
//!
//! `state` holds the router's state and `tuning` its constants.

mod attempts;
pub mod begin;
mod dispatch;
mod group_context;
mod health;
pub mod invariants;
pub(crate) mod list_calls;
pub mod member_clock;
mod membership;
mod primary;
mod reads;
pub mod repeat_proof;
mod router;
mod slow_start;
pub(crate) mod state;
mod timers;
mod tuning;

pub use router::Router;
pub(crate) use tuning::REPORT_ROUNDING;
