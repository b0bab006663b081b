//! Transfer of documents and member lists, which do not fit a datagram, over TCP. Each connection carries one
//! request and its answer. Both are length-delimited and authenticated; the MAC of the answer also covers the nonce
//! of the request.

use crate::agreement::document::MAX_BYTES;
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

/// The time limit of a request with its answer, on both sides.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of connections served at the same time; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 16;
/// The delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const REQUEST_PURPOSE: &str = "linentrail pull 1";
const ANSWER_PURPOSE: &str = "linentrail pulled 1";

/// What can be fetched. The encoding depends on the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resource {
    /// The document with this hash.
    Document(Hash),
    /// The member list.
    MemberList,
}

/// A received request, and the channel for the resource; `None` if it is not available.
pub type FetchRequest = (Resource, oneshot::Sender<Option<Bytes>>);

#[derive(Serialize, Deserialize)]
struct Signed {
    key_id: u8,
    mac: Vec<u8>,
    body: Vec<u8>,
}

fn sign(keys: &Keys, purpose: &str, nonce: &[u8], body: Vec<u8>) -> Bytes {
    let (key_id, mac) = keys.sign(purpose, &[nonce, &body].concat());
    postcard::to_extend(&Signed { key_id, mac: mac.to_vec(), body }, Vec::new()).unwrap_or_default().into()
}

fn verify(keys: &Keys, purpose: &str, nonce: &[u8], bytes: &[u8]) -> Option<Vec<u8>> {
    let Signed { key_id, mac, body } = postcard::from_bytes(bytes).ok()?;
    keys.check(purpose, &[nonce, &body].concat(), (key_id, &mac)).ok()?;
    Some(body)
}

fn framed(stream: TcpStream) -> Framed<Socket, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_BYTES + 256).new_framed(Socket::new(stream))
}

/// Fetches a resource from another proxy. Returns `None` if that proxy does not have it or does not answer in time,
/// or if the answer is not authentic.
pub async fn get(from: SocketAddr, keys: &Keys, resource: Resource, nonce: u64) -> Option<Vec<u8>> {
    count(Count::agreement_fetches);
    let exchange = async {
        let mut connection = framed(transient::connect(from).await.ok()?);
        let request = postcard::to_extend(&(nonce, resource), Vec::new()).ok()?;
        connection.send(sign(keys, REQUEST_PURPOSE, &[], request)).await.ok()?;
        let answer = connection.next().await?.ok()?;
        let answer = verify(keys, ANSWER_PURPOSE, &nonce.to_le_bytes(), &answer)?;
        postcard::from_bytes::<Option<Vec<u8>>>(&answer).ok()?
    };
    tokio::time::timeout(REQUEST_TIMEOUT, exchange).await.ok()?
}

async fn answer(stream: TcpStream, keys: &Keys, requests: &mpsc::Sender<FetchRequest>) -> Option<()> {
    let mut connection = framed(stream);
    let request = connection.next().await?.ok()?;
    let request = verify(keys, REQUEST_PURPOSE, &[], &request)?;
    let (nonce, resource): (u64, Resource) = postcard::from_bytes(&request).ok()?;
    let (reply, content) = oneshot::channel();
    requests.send((resource, reply)).await.ok()?;
    let content: Option<Vec<u8>> = content.await.ok()?.map(|bytes| bytes.to_vec());
    let body = postcard::to_extend(&content, Vec::new()).ok()?;
    connection.send(sign(keys, ANSWER_PURPOSE, &nonce.to_le_bytes(), body)).await.ok()
}

/// Serves requests of other proxies until the process ends.
pub async fn serve(listener: TcpListener, keys: Keys, requests: mpsc::Sender<FetchRequest>) {
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (keys, requests) = (keys.clone(), requests.clone());
        tokio::spawn(async move {
            if !matches!(
                tokio::time::timeout(REQUEST_TIMEOUT, answer(stream, &keys, &requests)).await,
                Ok(Some(()))
            ) {
                count(Count::agreement_dropped);
            }
            drop(permit);
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(byte: u8) -> Keys {
        Keys::new(vec![(1, vec![byte; 32])]).expect("valid keys")
    }

    #[test]
    fn resource_is_fetched_only_with_the_fleets_key() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let (requests, mut received) = mpsc::channel::<FetchRequest>(4);
            tokio::spawn(serve(listener, keys(1), requests));
            tokio::spawn(async move {
                while let Some((resource, reply)) = received.recv().await {
                    let available = resource == Resource::MemberList;
                    let _ = reply.send(available.then(|| Bytes::from(vec![7; 600_000])));
                }
            });
            assert_eq!(get(address, &keys(1), Resource::MemberList, 5).await.map(|b| b.len()), Some(600_000));
            assert_eq!(get(address, &keys(1), Resource::Document(Hash::default()), 6).await, None);
            assert_eq!(get(address, &keys(2), Resource::MemberList, 7).await, None, "another key");
        });
    }

    #[test]
    fn answer_to_another_request_is_rejected() {
        let answer = sign(&keys(1), ANSWER_PURPOSE, &5u64.to_le_bytes(), vec![1]);
        assert!(verify(&keys(1), ANSWER_PURPOSE, &5u64.to_le_bytes(), &answer).is_some());
        assert!(verify(&keys(1), ANSWER_PURPOSE, &6u64.to_le_bytes(), &answer).is_none());
        assert!(verify(&keys(1), REQUEST_PURPOSE, &5u64.to_le_bytes(), &answer).is_none());
    }
}
