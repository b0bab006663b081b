//! What does not fit a datagram: documents and member lists, got from another proxy by TCP. One call a connection; both ways
//! are framed by their length and authenticated, and an answer by the nonce of its question, too.

use crate::agreement::document::LONGEST;
use crate::agreement::seal::Keys;
use crate::agreement::Hash;
use crate::core::counters::{count, Count};
use crate::net::socket::Socket;
use crate::net::transient;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// How long a call may take.
const PATIENCE: Duration = Duration::from_secs(2);
/// Calls that are answered at a time; more wait to be accepted.
const CALLS: usize = 16;
const PAUSE: Duration = Duration::from_millis(20);
const ASKS: &str = "linentrail pull 1";
const ANSWERS: &str = "linentrail pulled 1";

/// What is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Want {
    /// A document.
    Document(Hash),
    /// The member list.
    List,
}

/// A question to the one that has it.
pub type Question = (Want, oneshot::Sender<Option<Bytes>>);

#[derive(Serialize, Deserialize)]
struct Signed {
    key: u8,
    code: Vec<u8>,
    body: Vec<u8>,
}

fn sign(keys: &Keys, purpose: &str, nonce: &[u8], body: Vec<u8>) -> Bytes {
    let (key, code) = keys.sign(purpose, &[nonce, &body].concat());
    postcard::to_extend(&Signed { key, code: code.to_vec(), body }, Vec::new()).unwrap_or_default().into()
}

fn check(keys: &Keys, purpose: &str, nonce: &[u8], bytes: &[u8]) -> Option<Vec<u8>> {
    let Signed { key, code, body } = postcard::from_bytes(bytes).ok()?;
    keys.check(purpose, &[nonce, &body].concat(), (key, &code)).ok()?;
    Some(body)
}

fn framed(stream: TcpStream) -> Framed<Socket, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(LONGEST + 256).new_framed(Socket::new(stream))
}

/// Gets something from another proxy; none where it has none, does not answer, or what it says is not authentic.
pub async fn get(from: SocketAddr, keys: &Keys, want: Want, nonce: u64) -> Option<Vec<u8>> {
    count(Count::agreement_fetches);
    let call = async {
        let mut link = framed(transient::connect(from).await.ok()?);
        let question = postcard::to_extend(&(nonce, want), Vec::new()).ok()?;
        link.send(sign(keys, ASKS, &[], question)).await.ok()?;
        let answer = link.next().await?.ok()?;
        let answer = check(keys, ANSWERS, &nonce.to_le_bytes(), &answer)?;
        postcard::from_bytes::<Option<Vec<u8>>>(&answer).ok()?
    };
    tokio::time::timeout(PATIENCE, call).await.ok()?
}

async fn answer(stream: TcpStream, keys: &Keys, questions: &mpsc::Sender<Question>) -> Option<()> {
    let mut link = framed(stream);
    let asked = link.next().await?.ok()?;
    let asked = check(keys, ASKS, &[], &asked)?;
    let (nonce, want): (u64, Want) = postcard::from_bytes(&asked).ok()?;
    let (reply, told) = oneshot::channel();
    questions.send((want, reply)).await.ok()?;
    let told: Option<Vec<u8>> = told.await.ok()?.map(|bytes| bytes.to_vec());
    let body = postcard::to_extend(&told, Vec::new()).ok()?;
    link.send(sign(keys, ANSWERS, &nonce.to_le_bytes(), body)).await.ok()
}

/// Answers other proxies until the process ends.
pub async fn serve(listener: TcpListener, keys: Keys, questions: mpsc::Sender<Question>) {
    let seats = std::sync::Arc::new(tokio::sync::Semaphore::new(CALLS));
    loop {
        let Ok(seat) = seats.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let (keys, questions) = (keys.clone(), questions.clone());
        tokio::spawn(async move {
            if !matches!(
                tokio::time::timeout(PATIENCE, answer(stream, &keys, &questions)).await,
                Ok(Some(()))
            ) {
                count(Count::agreement_dropped);
            }
            drop(seat);
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(byte: u8) -> Keys {
        Keys::new(vec![(1, vec![byte; 32])]).expect("sound")
    }

    #[test]
    fn what_is_wanted_comes_back_to_those_with_the_key_alone() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let at = listener.local_addr().expect("an address");
            let (questions, mut asked) = mpsc::channel::<Question>(4);
            tokio::spawn(serve(listener, keys(1), questions));
            tokio::spawn(async move {
                while let Some((want, reply)) = asked.recv().await {
                    let known = want == Want::List;
                    let _ = reply.send(known.then(|| Bytes::from(vec![7; 600_000])));
                }
            });
            assert_eq!(get(at, &keys(1), Want::List, 5).await.map(|b| b.len()), Some(600_000));
            assert_eq!(get(at, &keys(1), Want::Document(Hash::default()), 6).await, None);
            assert_eq!(get(at, &keys(2), Want::List, 7).await, None, "another key");
        });
    }

    #[test]
    fn an_answer_to_another_question_is_none() {
        let told = sign(&keys(1), ANSWERS, &5u64.to_le_bytes(), vec![1]);
        assert!(check(&keys(1), ANSWERS, &5u64.to_le_bytes(), &told).is_some());
        assert!(check(&keys(1), ANSWERS, &6u64.to_le_bytes(), &told).is_none());
        assert!(check(&keys(1), ASKS, &5u64.to_le_bytes(), &told).is_none());
    }
}
