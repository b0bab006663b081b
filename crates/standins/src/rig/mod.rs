//! The rig of many processes: one log of what all parties do, a checker that knows nothing of the proxy's code, a
//! fault plane between any two parties, and the scenarios that say what happens when (`docs/rig.md`).

pub mod checker;
pub mod clients;
pub mod draw;
pub mod events;
pub mod harm;
pub mod measure;
pub mod relay;
pub mod run;
pub mod run_delay;
pub mod script;
pub mod world;
