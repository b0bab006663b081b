//! Network I/O outside the fronts: member connections, discovery, accepting clients, and budgets of descriptors and
//! bytes.

pub mod accept_queue;
pub mod answer_limit;
pub mod budget;
pub mod client_close;
pub mod client_listeners;
pub mod client_write;
pub mod connection_pool;
pub mod discovery;
pub mod frames;
mod list_entry;
pub mod list_reader;
pub mod listen;
pub mod member_actor;
pub mod member_actors;
pub mod member_protocol;
pub mod member_state;
pub mod socket;
pub mod stall;
pub mod startup;
#[cfg(test)]
mod test_sockets;
pub mod timeout;
pub mod transient;
