//! The platform's protocol: version 3 of PostgreSQL's wire protocol, as far as simple queries need it.

pub mod codec;
mod frames;
pub mod front;
pub mod member;
pub mod member_codec;
mod replies;
#[cfg(test)]
pub(crate) mod scripted_member;
mod session;
pub mod statement;
