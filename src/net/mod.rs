//! Sockets other than the fronts': one actor for each peer, discovery, accepting, the descriptor budget.

pub mod accepting;
pub mod answer_limit;
pub mod budget;
pub mod client_end;
pub mod client_queue;
pub mod discovery;
pub mod fleet;
pub mod frames;
pub mod held_up;
pub mod link;
pub mod listen;
pub mod member_state;
pub mod momentary;
pub mod peer;
pub mod pool;
pub mod socket;
pub mod startup;
#[cfg(test)]
mod test_sockets;
pub mod timeout;
