//! The OData front: 4.01, JSON, on the same core and under the same rules as the platform's protocol.
//!
//! [`request`] turns HTTP into typed calls, [`front`] carries them out, [`reply`] words what comes of them.

pub mod front;
pub mod reply;
pub mod request;
mod session;
