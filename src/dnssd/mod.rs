//! DNS-SD (RFC 6763): records and browsing. The message format is handled by `hickory-proto`.

pub mod browse;
pub mod records;
