//! Cutting messages off what was read, and what can be wrong with them; shared by both ends of the protocol.

use crate::net::budget::{ByteBudget, ByteReservation};
use crate::net::frames::INITIAL_BUFFER_SIZE;
use bytes::{Buf, Bytes, BytesMut};
use std::io;
use std::ops::Range;

/// The longest message taken in: a value of 64 KiB in hex with its statement fits well.
pub const LONGEST: usize = 144 * 1024;
/// A body from this size on is passed on in the very buffer that it was read into; a smaller one is copied out.
const LARGE: usize = 4 * 1024;
/// Room beyond a large message for what stands behind it, so that one read can bring all.
const BEHIND: usize = 256;

/// What can be wrong with what was read.
#[derive(Debug)]
pub enum WireError {
    /// The connection broke.
    Io(io::Error),
    /// A message is longer than is taken in.
    TooLong(usize),
    /// A message is malformed.
    Malformed(&'static str),
    /// All connections together hold as many bytes as memory allows.
    NoRoom,
    /// A message was begun and not ended in time.
    Unfinished,
}

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError::Io(e)
    }
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WireError::Io(e) => write!(f, "{e}"),
            WireError::TooLong(n) => write!(f, "a message of {n} bytes is too long"),
            WireError::Malformed(what) => write!(f, "{what}"),
            WireError::NoRoom => write!(f, "no room for one more message; trying again is harmless"),
            WireError::Unfinished => write!(f, "a message was begun and not ended in time"),
        }
    }
}

/// Where the next whole message stands in what was read.
pub(super) struct Found {
    /// Its tag; 0 where it has none.
    pub tag: u8,
    body: Range<usize>,
    share: Option<ByteReservation>,
}

impl Found {
    /// Its body.
    pub fn body<'a>(&self, src: &'a BytesMut) -> &'a [u8] {
        &src[self.body.clone()]
    }

    /// Takes it off what was read, of no more use.
    pub fn skip(self, src: &mut BytesMut) {
        src.advance(self.body.end);
    }

    /// Takes it off what was read and keeps its body, but for `head` bytes in front and `tail` at the end, for as long
    /// as any copy of it lives.
    pub fn keep(self, src: &mut BytesMut, head: usize, tail: usize) -> Bytes {
        let Found { body: Range { start, end }, share, .. } = self;
        let part = start + head..end - tail;
        let Some(share) = share else {
            let kept = Bytes::copy_from_slice(&src[part]);
            src.advance(end);
            return kept;
        };
        // Not where that would keep much more than the share counts.
        if part.len() < LARGE || src.capacity() > 2 * end + BEHIND {
            let kept = share.attach_to_copy(&src[part]);
            src.advance(end);
            return kept;
        }
        let mut rest = BytesMut::with_capacity(INITIAL_BUFFER_SIZE.max(src.len() - end));
        rest.extend_from_slice(&src[end..]);
        let mut whole = std::mem::replace(src, rest);
        whole.truncate(part.end);
        whole.advance(part.start);
        share.attach_to_buffer(whole)
    }
}

/// Finds messages in what was read. The length that a message claims is no reason to make room for it: its share of
/// the budget is taken first, and the buffer grows with what comes.
pub(super) struct Frames {
    budget: ByteBudget,
    share: Option<ByteReservation>,
    /// Short messages need no share: the buffer that every connection has holds them.
    free: usize,
    /// So much of a long message must have come before room is made for the rest.
    earnest: usize,
    /// So many bytes of a message that found no memory are still to be passed over.
    unwanted: usize,
}

impl Frames {
    /// For an end that counts messages longer than `free` and makes room for a whole message once `earnest` bytes of
    /// it have come.
    pub fn new(budget: ByteBudget, free: usize, earnest: usize) -> Self {
        Frames { budget, share: None, free, earnest, unwanted: 0 }
    }

    /// Whether bytes of a message are still to come that found no memory.
    pub fn passes_over(&self) -> bool {
        self.unwanted > 0
    }

    /// The next message. `longest` tells the longest length of a tag's messages, or that there is no such tag: noise
    /// is known by its first byte, however long it says that it is. One that finds no memory is an error once, and the next
    /// calls pass over it.
    pub fn next(
        &mut self,
        src: &mut BytesMut,
        tagged: bool,
        longest: impl Fn(u8) -> Option<usize>,
    ) -> Result<Option<Found>, WireError> {
        let passed_over = self.unwanted.min(src.len());
        src.advance(passed_over);
        self.unwanted -= passed_over;
        let at = usize::from(tagged);
        let tag = if tagged { src.first().copied() } else { Some(0) };
        let Some(tag) = tag else { return Ok(None) };
        let longest = longest(tag).ok_or(WireError::Malformed("there is no such message"))?;
        if src.len() < at + 4 {
            return Ok(None);
        }
        let length = (&src[at..]).get_u32() as usize;
        if length < 4 {
            return Err(WireError::Malformed("a message is shorter than its own length field"));
        }
        if length > longest {
            return Err(WireError::TooLong(length));
        }
        let end = at + length;
        let share = match self.share.take() {
            None if length <= self.free => None,
            None => match self.budget.try_reserve(length) {
                None => {
                    self.unwanted = end;
                    return Err(WireError::NoRoom);
                }
                share => share,
            },
            some => some,
        };
        if src.len() < end {
            self.share = share;
            if end > INITIAL_BUFFER_SIZE && src.len() >= self.earnest && src.capacity() < end {
                src.reserve(end + BEHIND - src.len());
            }
            return Ok(None);
        }
        Ok(Some(Found { tag, body: at + 4..end, share }))
    }
}

/// A body read from its start.
pub(super) struct Body<'a>(pub &'a [u8]);

impl<'a> Body<'a> {
    /// Nothing is left of it.
    pub fn ended(&self) -> Result<(), WireError> {
        self.0.is_empty().then_some(()).ok_or(WireError::Malformed("a message holds more than belongs to it"))
    }

    /// A string up to its zero byte.
    pub fn text(&mut self) -> Result<&'a [u8], WireError> {
        let end = memchr::memchr(0, self.0);
        let (text, rest) = end.map(|end| (&self.0[..end], &self.0[end + 1..])).ok_or(NO_END)?;
        self.0 = rest;
        Ok(text)
    }

    /// So many bytes.
    pub fn take<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let (head, rest) =
            self.0.split_first_chunk().ok_or(WireError::Malformed("a message ends too early"))?;
        self.0 = rest;
        Ok(*head)
    }
}

const NO_END: WireError = WireError::Malformed("a string does not end");
