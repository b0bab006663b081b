//! The PostgreSQL front and the connections to members: version 3 of PostgreSQL's wire protocol, simple queries only.

pub mod codec;
mod frames;
pub mod front;
pub mod member;
pub mod member_codec;
mod replies;
mod row_stream;
#[cfg(test)]
pub(crate) mod scripted_member;
mod session;
pub mod statement;
