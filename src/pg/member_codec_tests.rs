//! Tests of decoding members' answers that arrive in pieces.

use super::*;
use crate::pg::frames::MAX_MESSAGE_LEN;
use crate::pg::scripted_member::{data_row, message, row_description, READY_FOR_QUERY};

/// What a whole answer decodes to, with the chunks of a streamed value joined.
#[derive(Debug, Default, PartialEq)]
struct Decoded {
    messages: Vec<Backend>,
    streamed: Vec<u8>,
}

/// An answer with a row of this value.
fn answer(value: Option<&[u8]>) -> Vec<u8> {
    let null_row = message(b'D', &[&[0, 1][..], &(-1_i32).to_be_bytes()].concat());
    let row = value.map_or(null_row, data_row);
    [&row_description()[..], &row, &message(b'C', b"SELECT 1\0"), READY_FOR_QUERY].concat()
}

/// Feeds the answer to a codec: its first `head` bytes in pieces of `piece` bytes, the rest at once.
fn decode(answer: &[u8], head: usize, piece: usize, budget: &ByteBudget) -> Result<Decoded, WireError> {
    let (mut codec, mut src, mut decoded) =
        (ClientCodec::new(budget.clone()), BytesMut::new(), Decoded::default());
    let (head, rest) = answer.split_at(head.min(answer.len()));
    for bytes in head.chunks(piece).chain([rest]) {
        src.extend_from_slice(bytes);
        while let Some(message) = codec.decode(&mut src)? {
            match message {
                Backend::Chunk(bytes) => decoded.streamed.extend_from_slice(&bytes),
                message => decoded.messages.push(message),
            }
        }
    }
    assert!(src.is_empty(), "{} bytes are left", src.len());
    assert!(codec.reservation.is_none());
    Ok(decoded)
}

const BUDGET_LEN: usize = 16 * 1024 * 1024;

/// Guards against an answer that counts as corrupted only because of where its pieces end.
#[test]
fn an_answer_is_read_differently_when_it_arrives_in_pieces() {
    let lengths = [0, 1, 512, 513, 4_096, MAX_BUFFERED_VALUE_LEN, MAX_BUFFERED_VALUE_LEN + 1];
    let lengths = lengths.into_iter().chain([MAX_MESSAGE_LEN - 11, MAX_MESSAGE_LEN, 150_000, 1024 * 1024]);
    let values: Vec<Option<Vec<u8>>> =
        [None].into_iter().chain(lengths.map(|len| Some(vec![b'D'; len]))).collect();
    for value in &values {
        let (answer, length) = (answer(value.as_deref()), value.as_ref().map(Vec::len));
        let budget = ByteBudget::new(BUDGET_LEN);
        let whole = decode(&answer, 0, 1, &budget).expect("the answer is sound");
        let is_streamed = length.is_some_and(|length| length > MAX_BUFFERED_VALUE_LEN);
        assert_eq!(whole.streamed.len(), if is_streamed { length.unwrap_or(0) } else { 0 });
        for piece in 1..=32 {
            let pieces = decode(&answer, 128, piece, &budget);
            assert!(
                pieces.as_ref().is_ok_and(|p| *p == whole),
                "a value of {length:?} bytes, pieces of {piece}: {:?}",
                pieces.err()
            );
        }
        drop(whole);
        assert!(
            budget.try_reserve(BUDGET_LEN).is_some(),
            "a value of {length:?} bytes keeps its reservation"
        );
    }
}

/// Guards against memory that stays reserved while a value whose row began in pieces is streamed.
#[test]
fn a_row_that_begins_in_pieces_reserves_the_memory_of_the_whole_value() {
    let answer = answer(Some(&vec![1; MAX_BUFFERED_VALUE_LEN + 1]));
    let row_at = row_description().len();
    let budget = ByteBudget::new(BUDGET_LEN);
    let (mut codec, mut src) = (ClientCodec::new(budget.clone()), BytesMut::new());
    for byte in &answer[..row_at + ROW_HEAD_LEN] {
        src.extend_from_slice(&[*byte]);
        let _ = codec.decode(&mut src).expect("the answer is sound");
    }
    assert!(codec.remaining > 0);
    assert!(budget.try_reserve(BUDGET_LEN - STREAM_RESERVATION_LEN).is_some());
}

/// Guards against an endless wait for a row that cannot be one, or whose value is too long.
#[test]
fn a_row_of_an_impossible_length_is_waited_for() {
    let head = |length: u32| [&b"D"[..], &length.to_be_bytes()].concat();
    let max = (ROW_HEAD_LEN - 1 + MAX_VALUE_LEN) as u32;
    for (length, is_refused) in [(0, true), (6, true), (9, true), (10, false), (max, false), (max + 1, true)]
    {
        let mut codec = ClientCodec::new(ByteBudget::new(BUDGET_LEN));
        let decoded = codec.decode(&mut BytesMut::from(&head(length)[..]));
        assert_eq!(decoded.is_err(), is_refused, "a row of {length} bytes");
    }
    let two_columns = message(b'D', &[&[0, 2][..], &[0, 0, 0, 1, b'x'], &[0, 0, 0, 1, b'y']].concat());
    for piece in 1..=8 {
        assert!(decode(&two_columns, 64, piece, &ByteBudget::new(BUDGET_LEN)).is_err());
    }
}
