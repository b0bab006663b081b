//! The OData front: OData 4.01 in JSON, on the same core and under the same rules as the PostgreSQL front.
//!
//! [`request`] parses HTTP requests into typed calls, [`front`] executes them, [`reply`] builds the responses; those
//! to reads of large values are written while the values arrive.

pub mod front;
pub mod reply;
pub mod request;
mod session;
mod stream;
