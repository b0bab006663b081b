//! Sockets other than the fronts': the clock, one actor for each peer, discovery, accepting, the descriptor budget.

pub mod budget;
pub mod clock;
pub mod discovery;
pub mod fleet;
pub mod frames;
pub mod listen;
pub mod peer;
