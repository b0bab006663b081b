//! Message framing and wire errors, shared by both ends of the protocol.

use crate::net::budget::{ByteBudget, ByteReservation};
use crate::net::frames::INITIAL_BUFFER_SIZE;
use bytes::{Buf, Bytes, BytesMut};
use std::io;
use std::ops::Range;

/// Maximum length of a message. A 64 KiB value in hex fits with room for its statement.
pub const MAX_MESSAGE_LEN: usize = 144 * 1024;
/// A body of at least this size keeps the buffer that it was read into; a smaller one is copied out.
const MIN_ZERO_COPY_LEN: usize = 4 * 1024;
/// Spare capacity beyond a large message, so that a single read can also fetch the message that follows it.
const SPARE_CAPACITY: usize = 256;

/// An error while reading a message.
#[derive(Debug)]
pub enum WireError {
    /// The connection broke.
    Io(io::Error),
    /// The message, of this length, exceeds the maximum.
    TooLong(usize),
    /// The message is malformed.
    Malformed(&'static str),
    /// The byte budget shared by all connections is exhausted.
    BudgetExhausted,
    /// The rest of a partially received message did not arrive in time.
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
            WireError::BudgetExhausted => write!(f, "no room for one more message; trying again is harmless"),
            WireError::Unfinished => write!(f, "a message was begun and not ended in time"),
        }
    }
}

/// Position of a complete message in the read buffer.
pub(super) struct Frame {
    /// Message tag, or 0 for untagged messages.
    pub tag: u8,
    body: Range<usize>,
    reservation: Option<ByteReservation>,
}

impl Frame {
    /// Returns the message body.
    pub fn body<'a>(&self, src: &'a BytesMut) -> &'a [u8] {
        &src[self.body.clone()]
    }

    /// Removes the message from the read buffer and discards it.
    pub fn discard(self, src: &mut BytesMut) {
        src.advance(self.body.end);
    }

    /// Removes the message from the read buffer and returns its body without the first `head` and the last `tail`
    /// bytes. Its reservation of the byte budget is held until the last clone of the returned `Bytes` is dropped.
    pub fn into_body(self, src: &mut BytesMut, head: usize, tail: usize) -> Bytes {
        let Frame { body: Range { start, end }, reservation, .. } = self;
        let part = start + head..end - tail;
        let Some(reservation) = reservation else {
            let kept = Bytes::copy_from_slice(&src[part]);
            src.advance(end);
            return kept;
        };
        // Copies if keeping the buffer would hold much more memory than is reserved.
        if part.len() < MIN_ZERO_COPY_LEN || src.capacity() > 2 * end + SPARE_CAPACITY {
            let kept = reservation.attach_to_copy(&src[part]);
            src.advance(end);
            return kept;
        }
        let mut rest = BytesMut::with_capacity(INITIAL_BUFFER_SIZE.max(src.len() - end));
        rest.extend_from_slice(&src[end..]);
        let mut whole = std::mem::replace(src, rest);
        whole.truncate(part.end);
        whole.advance(part.start);
        reservation.attach_to_buffer(whole)
    }
}

/// Finds message boundaries in the read buffer. A length field alone causes no allocation: the message's length is
/// first reserved in the byte budget, and the buffer is grown only once enough of the message has arrived.
pub(super) struct FrameReader {
    budget: ByteBudget,
    reservation: Option<ByteReservation>,
    /// Messages up to this length are not reserved: they fit in the buffer that every connection has anyway.
    uncounted_len: usize,
    /// Number of bytes of a long message that must have arrived before the buffer is grown for the rest.
    grow_threshold: usize,
    /// Remaining bytes to skip of a message that was rejected for lack of memory.
    bytes_to_skip: usize,
}

impl FrameReader {
    /// Creates a reader that counts messages longer than `uncounted_len` against the budget, and grows the buffer to
    /// the full message length once `grow_threshold` bytes have arrived.
    pub fn new(budget: ByteBudget, uncounted_len: usize, grow_threshold: usize) -> Self {
        FrameReader { budget, reservation: None, uncounted_len, grow_threshold, bytes_to_skip: 0 }
    }

    /// Whether bytes of a rejected message are still to be skipped.
    pub fn is_skipping(&self) -> bool {
        self.bytes_to_skip > 0
    }

    /// Returns the next complete message. `max_len` gives the maximum length for a tag, or `None` for an unknown tag:
    /// garbage is rejected at its first byte, whatever length it claims. A message for which there is no memory is
    /// reported once as an error, and later calls skip it.
    pub fn next(
        &mut self,
        src: &mut BytesMut,
        tagged: bool,
        max_len: impl Fn(u8) -> Option<usize>,
    ) -> Result<Option<Frame>, WireError> {
        let skipped = self.bytes_to_skip.min(src.len());
        src.advance(skipped);
        self.bytes_to_skip -= skipped;
        let at = usize::from(tagged);
        let tag = if tagged { src.first().copied() } else { Some(0) };
        let Some(tag) = tag else { return Ok(None) };
        let max_len = max_len(tag).ok_or(WireError::Malformed("there is no such message"))?;
        if src.len() < at + 4 {
            return Ok(None);
        }
        let length = (&src[at..]).get_u32() as usize;
        if length < 4 {
            return Err(WireError::Malformed("a message is shorter than its own length field"));
        }
        if length > max_len {
            return Err(WireError::TooLong(length));
        }
        let end = at + length;
        let reservation = match self.reservation.take() {
            None if length <= self.uncounted_len => None,
            None => match self.budget.try_reserve(length) {
                None => {
                    self.bytes_to_skip = end;
                    return Err(WireError::BudgetExhausted);
                }
                reservation => reservation,
            },
            some => some,
        };
        if src.len() < end {
            self.reservation = reservation;
            if end > INITIAL_BUFFER_SIZE && src.len() >= self.grow_threshold && src.capacity() < end {
                src.reserve(end + SPARE_CAPACITY - src.len());
            }
            return Ok(None);
        }
        Ok(Some(Frame { tag, body: at + 4..end, reservation }))
    }
}

/// Reads the fields of a message body in order.
pub(super) struct BodyReader<'a>(pub &'a [u8]);

impl<'a> BodyReader<'a> {
    /// Fails if unread bytes are left.
    pub fn expect_end(&self) -> Result<(), WireError> {
        self.0.is_empty().then_some(()).ok_or(WireError::Malformed("a message holds more than belongs to it"))
    }

    /// Reads a zero-terminated string, without the terminator.
    pub fn read_string(&mut self) -> Result<&'a [u8], WireError> {
        let end = memchr::memchr(0, self.0);
        let (text, rest) = end.map(|end| (&self.0[..end], &self.0[end + 1..])).ok_or(UNTERMINATED_STRING)?;
        self.0 = rest;
        Ok(text)
    }

    /// Reads `N` bytes.
    pub fn read_bytes<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let (head, rest) =
            self.0.split_first_chunk().ok_or(WireError::Malformed("a message ends too early"))?;
        self.0 = rest;
        Ok(*head)
    }
}

const UNTERMINATED_STRING: WireError = WireError::Malformed("a string does not end");
