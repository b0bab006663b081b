//! The console's lines: a call in, one answer out.
//!
//! A call counts only once its line has ended. What a caller left unfinished is not acted upon: half an id may well be
//! another member's.

use bytes::BytesMut;
use std::borrow::Cow;
use std::fmt::{Display, Formatter};
use std::io;
use tokio_util::codec::{Decoder, Encoder, LinesCodec, LinesCodecError};

/// The longest line taken in, its end not counted.
pub const LINE_BYTES_MAX: usize = 512;

/// What a caller asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Status,
    /// Take a member out.
    Suspend(String),
    /// Put a member back.
    Restore(String),
    /// How far the process is on its way to full service.
    Phase,
    /// All that was said by hand and may have been lost has been said again.
    Confirm,
    /// What the proxies of the fleet agree on.
    Fleet(FleetCall),
}

/// What is asked of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetCall {
    /// How it stands.
    Status,
    /// What was in force.
    History,
    /// Take the settings of the file at this path, by this author.
    Propose(String, String),
    /// A member out, or back, for all.
    Hand(String, bool),
    /// Take back the change that is under way.
    Abort,
    /// Begin this epoch.
    Epoch(u32),
}

/// The one answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// It is so, or it was done.
    Success(Cow<'static, str>),
    /// It is not so, or it was not done, and why.
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

/// What comes of a caller's bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Line {
    /// A call.
    Call(Call),
    /// A line, or a part of one, that is no call, and why.
    Invalid(String),
}

/// The console's end of a connection.
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
            Ok(line) => Ok(line.map(|line| read(&line))),
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
                // The codec underneath remembers how far it has looked.
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

/// Reads a whole line.
fn read(line: &str) -> Line {
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

    fn all(bytes: &[u8]) -> Vec<Line> {
        let (mut codec, mut src, mut found) = (LineCodec::default(), BytesMut::from(bytes), Vec::new());
        while let Some(line) = codec.decode_eof(&mut src).expect("bytes in memory do not break") {
            found.push(line);
        }
        found
    }

    #[test]
    fn a_call_is_one_line_with_either_end() {
        let suspend = Line::Call(Call::Suspend("s-1".to_string()));
        assert_eq!(all(b"STATUS\n"), [Line::Call(Call::Status)]);
        assert_eq!(all(b"SUSPEND s-1\r\n"), std::slice::from_ref(&suspend));
        assert_eq!(all(b"SUSPEND s-1\nrest\n")[0], suspend);
        assert_eq!(all(b"RESTORE \xc3\xa9\n"), [Line::Call(Call::Restore("\u{e9}".to_string()))]);
    }

    #[test]
    fn what_is_no_call_is_told_why() {
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
            let found = all(bytes);
            let Some(Line::Invalid(why)) = found.first() else { panic!("{bytes:?}: {found:?}") };
            assert!(why.contains(word), "{why}");
        }
    }

    #[test]
    fn a_line_comes_whole_however_it_is_cut() {
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
    fn an_answer_is_one_line() {
        let mut dst = BytesMut::new();
        LineCodec::default().encode(Reply::Failure("why".to_string()), &mut dst).expect("fine");
        LineCodec::default().encode(Reply::Success("done".into()), &mut dst).expect("fine");
        assert_eq!(&dst[..], b"400 why\n200 done\n");
    }
}
