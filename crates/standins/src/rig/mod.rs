//! The rig: a test harness that runs many proxy processes. It has one event log for all parties, a checker that is
//! independent of the proxy's code, fault injection between any two parties, and a scenario language that says what
//! happens when (`docs/rig.md`).

pub mod background;
pub mod checker;
pub mod clients;
pub mod draw;
pub mod events;
pub mod harm;
pub mod measure;
pub mod processor_share;
pub mod relay;
pub mod run;
pub mod run_delay;
pub mod script;
pub mod slow_start;
pub mod world;
