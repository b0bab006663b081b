//! Encoding of values that arrive in pieces.

use super::{decode_hex, encoded_len, Transcoder, ValueFormat, HEX_PREFIX};
use crate::core::{Answer, Value};
use crate::odata::reply::{answer, record_frame, CallKind};
use crate::odata::request::{MetadataLevel, ResponseFormat, BINARY_RESPONSE};
use base64::Engine;
use bytes::Bytes;

/// The digits of a value that arrives in pieces of this many bytes; `None` if it is not in its format.
fn transcode(format: ValueFormat, sent: &[u8], piece: usize) -> Option<String> {
    let mut transcoder = Transcoder::new(format);
    let mut digits = String::new();
    for piece in sent.chunks(piece) {
        digits.push_str(&transcoder.push(Bytes::copy_from_slice(piece))?);
    }
    digits.push_str(&transcoder.finish());
    Some(digits)
}

#[test]
fn a_value_in_pieces_has_the_digits_of_the_whole_value() {
    for length in 0..9_u8 {
        let value: Vec<u8> = (0..length).map(|n| n.wrapping_mul(77) ^ 0xa5).collect();
        let whole = BINARY_RESPONSE.encode(&value);
        let hex = [HEX_PREFIX, crate::pg::statement::hex(&value).as_bytes()].concat();
        for piece in 1..6 {
            assert_eq!(transcode(ValueFormat::Raw, &value, piece).as_ref(), Some(&whole));
            assert_eq!(transcode(ValueFormat::Hex, &hex, piece).as_ref(), Some(&whole));
        }
        assert_eq!(encoded_len(value.len()), whole.len());
        assert_eq!(ValueFormat::Hex.decoded_len(hex.len()), Some(value.len()));
        assert_eq!(decode_hex(&hex), Some(Bytes::from(value)));
    }
}

#[test]
fn what_is_no_hex_is_no_value() {
    assert_eq!(ValueFormat::Hex.decoded_len(1), None, "shorter than its prefix");
    assert_eq!(ValueFormat::Hex.decoded_len(5), None, "half a byte");
    for sent in ["x0a", "\\x0g", "0a0a"] {
        for piece in 1..5 {
            assert_eq!(
                transcode(ValueFormat::Hex, sent.as_bytes(), piece),
                None,
                "{sent} in pieces of {piece}"
            );
        }
    }
}

#[test]
fn a_streamed_response_has_the_bytes_of_a_whole_one() {
    let value = b"a value".to_vec();
    // A key whose JSON holds the text of an empty value.
    for key in ["k1", r#""v":"""#] {
        for metadata in [MetadataLevel::None, MetadataLevel::Minimal, MetadataLevel::Full] {
            let format = ResponseFormat { metadata, ..ResponseFormat::default() };
            let frame = record_frame(format, key);
            let digits = BINARY_RESPONSE.encode(&value);
            let streamed = [&frame.prefix, digits.as_bytes(), &frame.suffix].concat();
            let bytes = Some(Bytes::from(value.clone()));
            let value = Value { binary: true, type_id: super::BYTEA, bytes, stream: None, rows: 1 };
            let whole = answer(format, CallKind::Read(key), Answer::Served(value, None), false);
            assert_eq!(String::from_utf8_lossy(&streamed), String::from_utf8_lossy(&whole.body));
            assert_eq!((frame.head.status, frame.head.headers), (whole.status, whole.headers));
        }
    }
}
