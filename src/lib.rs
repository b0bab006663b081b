#![doc = include_str!("../README.md")]

pub mod agreement;
pub mod agreement_io;
pub mod check;
pub mod class_table;
pub mod cli;
pub mod clock;
pub mod config;
pub mod console;
pub mod console_client;
pub mod core;
pub mod discovery_schedule;
pub mod dnssd;
pub mod effective_list;
pub mod fleet;
pub mod handover;
pub mod http;
mod interface;
pub mod knowledge;
pub mod list_export;
pub mod logs;
pub mod meter;
pub mod net;
pub mod odata;
pub mod operators;
pub mod pg;
pub mod phases;
pub mod policy;
pub mod recovery;
pub mod reload;
pub mod router_export;
pub mod settings;
pub mod shutdown;
pub mod store;

pub use interface::*;
pub use policy::Router;
