//! The line protocol of the console: a caller sends one line with a call and gets one line with the reply.
//!
//! A call is executed only if its line is complete. An unterminated line is rejected, since a truncated id may be
//! that of another member.

use bytes::BytesMut;
use std::borrow::Cow;
use std::fmt::{Display, Formatter};
use std::io;
use tokio_util::codec::{Decoder, Encoder, LinesCodec, LinesCodecError};

/// Maximum length of a line, without its line ending.
pub const LINE_BYTES_MAX: usize = 512;

/// A call of the operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process is ready to serve.
    Status,
    /// Takes a member out of use.
    Suspend(String),
    /// Puts a member back into use.
    Restore(String),
    /// Asks for the startup phase of the process.
    Phase,
    /// Confirms that all suspensions that may have been lost have been entered again.
    Confirm,
    /// A call about what the proxies of the fleet agree on.
    Fleet(FleetCall),
}

/// A call about the fleet's agreement. The variants' names are written to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetCall {
    /// Asks for the state of the agreement.
    Status,
    /// Asks for the versions that have been in force.
    History,
    /// Proposes the settings of the file at this path, on behalf of this author.
    Propose(String, String),
    /// Suspends (`true`) or restores (`false`) this member for all proxies.
    Hand(String, bool),
    /// Withdraws the change that is in progress.
    Abort,
    /// Begins this epoch.
    Epoch(u32),
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The answer is yes, or the call was executed.
    Success(Cow<'static, str>),
    /// The answer is no, or the call was not executed; with the reason.
    Failure(String),
}

impl Display for Reply {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Reply::Success(what) => write!(f, "200 {what}"),
            Reply::Failure(why) => write!(f, "400 {why}"),
        }
    }
}

/// A decoded line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Line {
    /// A valid call.
    Call(Call),
    /// A line, complete or not, that is no valid call; with the reason.
    Invalid(String),
}

/// Decodes calls and encodes replies on the console's side of a connection.
pub struct LineCodec(LinesCodec);

impl Default for LineCodec {
    fn default() -> Self {
        LineCodec(LinesCodec::new_with_max_length(LINE_BYTES_MAX))
    }
}

impl Decoder for LineCodec {
    type Item = Line;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Line>> {
        match self.0.decode(src) {
            Ok(line) => Ok(line.map(|line| parse(&line))),
            Err(LinesCodecError::MaxLineLengthExceeded) => {
                Ok(Some(Line::Invalid(format!("a line has at most {LINE_BYTES_MAX} bytes"))))
            }
            Err(LinesCodecError::Io(e)) if e.kind() == io::ErrorKind::InvalidData => {
                Ok(Some(Line::Invalid("the line is not UTF-8".to_string())))
            }
            Err(LinesCodecError::Io(e)) => Err(e),
        }
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> io::Result<Option<Line>> {
        match self.decode(src)? {
            None if !src.is_empty() => {
                // The inner codec keeps its scan position, which no longer fits the cleared buffer.
                src.clear();
                *self = LineCodec::default();
                Ok(Some(Line::Invalid("the line does not end".to_string())))
            }
            line => Ok(line),
        }
    }
}

impl Encoder<Reply> for LineCodec {
    type Error = io::Error;

    fn encode(&mut self, reply: Reply, dst: &mut BytesMut) -> io::Result<()> {
        dst.extend_from_slice(reply.to_string().as_bytes());
        dst.extend_from_slice(b"\n");
        Ok(())
    }
}

/// Parses a complete line.
fn parse(line: &str) -> Line {
    let words: Vec<&str> = line.split_ascii_whitespace().collect();
    match words[..] {
        ["STATUS"] => Line::Call(Call::Status),
        ["PHASE"] => Line::Call(Call::Phase),
        ["CONFIRM"] => Line::Call(Call::Confirm),
        ["SUSPEND", id] => Line::Call(Call::Suspend(id.to_string())),
        ["RESTORE", id] => Line::Call(Call::Restore(id.to_string())),
        ["FLEET"] => Line::Call(Call::Fleet(FleetCall::Status)),
        ["FLEET", "HISTORY"] => Line::Call(Call::Fleet(FleetCall::History)),
        ["FLEET", "PROPOSE", path, ref author @ ..] => {
            Line::Call(Call::Fleet(FleetCall::Propose(path.to_string(), author.join(" "))))
        }
        ["FLEET", "SUSPEND", id] => Line::Call(Call::Fleet(FleetCall::Hand(id.to_string(), true))),
        ["FLEET", "RESTORE", id] => Line::Call(Call::Fleet(FleetCall::Hand(id.to_string(), false))),
        ["FLEET", "ABORT"] => Line::Call(Call::Fleet(FleetCall::Abort)),
        ["FLEET", "EPOCH", number] => match number.parse() {
            Ok(number) => Line::Call(Call::Fleet(FleetCall::Epoch(number))),
            Err(_) => Line::Invalid("an epoch is a number".to_string()),
        },
        ["FLEET", ..] => {
            let all = "HISTORY, PROPOSE PATH AUTHOR, SUSPEND ID, RESTORE ID, ABORT, EPOCH NUMBER";
            Line::Invalid(format!("FLEET takes nothing more, or one of {all}"))
        }
        [] => Line::Invalid("the line is empty".to_string()),
        ["STATUS" | "PHASE" | "CONFIRM", ..] => Line::Invalid(format!("{} takes no more words", words[0])),
        ["SUSPEND" | "RESTORE"] => Line::Invalid(format!("{} needs a member's id", words[0])),
        ["SUSPEND" | "RESTORE", ..] => Line::Invalid(format!("{} takes one id", words[0])),
        _ => Line::Invalid(
            "no such call; there are STATUS, PHASE, SUSPEND ID, RESTORE ID and CONFIRM".to_string(),
        ),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn decode_all(bytes: &[u8]) -> Vec<Line> {
        let (mut codec, mut src, mut found) = (LineCodec::default(), BytesMut::from(bytes), Vec::new());
        while let Some(line) = codec.decode_eof(&mut src).expect("bytes in memory do not break") {
            found.push(line);
        }
        found
    }

    #[test]
    fn a_call_is_one_line_with_either_line_ending() {
        let suspend = Line::Call(Call::Suspend("s-1".to_string()));
        assert_eq!(decode_all(b"STATUS\n"), [Line::Call(Call::Status)]);
        assert_eq!(decode_all(b"SUSPEND s-1\r\n"), std::slice::from_ref(&suspend));
        assert_eq!(decode_all(b"SUSPEND s-1\nrest\n")[0], suspend);
        assert_eq!(decode_all(b"RESTORE \xc3\xa9\n"), [Line::Call(Call::Restore("\u{e9}".to_string()))]);
    }

    #[test]
    fn an_invalid_line_is_rejected_with_the_reason() {
        let long = [b'x'; LINE_BYTES_MAX + 1];
        for (bytes, word) in [
            (&b"\n"[..], "empty"),
            (b"STATUS now\n", "no more words"),
            (b"SUSPEND\n", "needs"),
            (b"RESTORE a b\n", "one id"),
            (b"status\n", "no such call"),
            (b"SUSPEND \xff\n", "UTF-8"),
            (b"SUSPEND s-1", "does not end"),
            (&long, "at most"),
        ] {
            let found = decode_all(bytes);
            let Some(Line::Invalid(why)) = found.first() else { panic!("{bytes:?}: {found:?}") };
            assert!(why.contains(word), "{why}");
        }
    }

    #[test]
    fn a_line_is_decoded_once_complete_even_byte_by_byte() {
        let mut codec = LineCodec::default();
        let mut src = BytesMut::new();
        for b in b"SUSPEND s-1" {
            src.extend_from_slice(&[*b]);
            assert_eq!(codec.decode(&mut src).expect("fine"), None);
        }
        src.extend_from_slice(b"\n");
        let call = Line::Call(Call::Suspend("s-1".to_string()));
        assert_eq!(codec.decode(&mut src).expect("fine"), Some(call));
    }

    #[test]
    fn a_reply_is_one_line() {
        let mut dst = BytesMut::new();
        LineCodec::default().encode(Reply::Failure("why".to_string()), &mut dst).expect("fine");
        LineCodec::default().encode(Reply::Success("done".into()), &mut dst).expect("fine");
        assert_eq!(&dst[..], b"400 why\n200 done\n");
    }
}
