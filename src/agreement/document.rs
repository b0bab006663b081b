//! A document: one version of the shared settings, or of the list of members that operators have suspended for the
//! whole fleet. A document names its author and the version that it replaces, and carries a MAC by one of the
//! fleet's keys, so that no proxy acts on a document that a holder of the keys has not made, whoever sent it.

use super::rules::FleetSettings;
use super::seal::{Keys, RejectReason};
use super::{Hash, Kind, Version};
use crate::interface::Time;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The maximum size of an encoded document with its MAC, in bytes.
pub const MAX_BYTES: usize = 1024 * 1024;
/// The maximum number of members that may be suspended.
pub const MAX_SUSPENDED: usize = crate::effective_list::MAX_SUSPENDED;
const PURPOSE: &str = "linentrail document 1";

/// A document as the proxies agree on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The kind.
    pub kind: Kind,
    /// The version number within the kind, from 1.
    pub number: u64,
    /// The hash of the previous version; zero for the first.
    pub parent: Hash,
    /// The operator who proposed it, by the name that the operator gave.
    pub author: String,
    /// When it was proposed, in us of Unix time by the clock of the proposing proxy.
    pub proposed_at: Time,
    /// The content: settings as JSON, or ids of suspended members, one in each line.
    pub body: String,
}

/// The parsed body of a document.
#[derive(Debug, Clone, PartialEq)]
pub enum Content {
    /// The shared settings.
    Settings(Box<FleetSettings>),
    /// The ids of the suspended members.
    Suspensions(BTreeSet<Arc<str>>),
}

/// A document with its MAC, as it is stored and sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct SignedDocument {
    document: Document,
    key_id: u8,
    mac: Vec<u8>,
}

impl Document {
    fn bytes(&self) -> Vec<u8> {
        postcard::to_extend(self, Vec::new()).unwrap_or_default()
    }

    /// The version of this document. The hash covers the document alone, so that signing it with another key makes no
    /// other version.
    pub fn version(&self) -> Version {
        Version { number: self.number, hash: Hash(Sha256::digest(self.bytes()).into()) }
    }

    /// Encodes the document with a MAC by the signing key.
    pub fn seal(&self, keys: &Keys) -> Vec<u8> {
        let (key_id, mac) = keys.sign(PURPOSE, &self.bytes());
        let signed = SignedDocument { document: self.clone(), key_id, mac: mac.to_vec() };
        postcard::to_extend(&signed, Vec::new()).unwrap_or_default()
    }

    /// Decodes a document and verifies its MAC.
    ///
    /// # Errors
    /// When it cannot be decoded, or its MAC is not valid.
    pub fn open(bytes: &[u8], keys: &Keys) -> Result<Self, RejectReason> {
        if bytes.len() > MAX_BYTES {
            return Err(RejectReason::Unreadable);
        }
        let (signed, rest): (SignedDocument, _) =
            postcard::take_from_bytes(bytes).map_err(|_| RejectReason::Unreadable)?;
        keys.check(PURPOSE, &signed.document.bytes(), (signed.key_id, &signed.mac))?;
        if rest.is_empty() {
            Ok(signed.document)
        } else {
            Err(RejectReason::Unreadable)
        }
    }

    /// Parses the body.
    ///
    /// # Errors
    /// With a description of what is wrong with the body.
    pub fn content(&self) -> Result<Content, String> {
        match self.kind {
            Kind::Settings => {
                let json = serde_json::from_str(&self.body).map_err(|e| format!("settings: {e}"))?;
                Ok(Content::Settings(Box::new(FleetSettings::read(&json)?)))
            }
            Kind::Suspensions => {
                let suspended: BTreeSet<Arc<str>> = self.body.lines().map(Arc::from).collect();
                let invalid = |id: &Arc<str>| id.is_empty() || id.contains(char::is_whitespace);
                match suspended.iter().find(|id| invalid(id)) {
                    Some(id) => Err(format!("hands: '{id}' is no member's id")),
                    None if suspended.len() > MAX_SUSPENDED => {
                        Err(format!("hands: {} are out, {MAX_SUSPENDED} may be", suspended.len()))
                    }
                    None => Ok(Content::Suspensions(suspended)),
                }
            }
        }
    }
}

/// The body of a document that suspends these members.
pub fn suspensions_body(suspended: &BTreeSet<Arc<str>>) -> String {
    suspended.iter().map(|id| &**id).collect::<Vec<&str>>().join("\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(id: u8) -> Keys {
        Keys::new(vec![(id, vec![id; 32])]).expect("valid keys")
    }

    fn document(body: &str) -> Document {
        let (kind, parent) = (Kind::Suspensions, Hash::default());
        Document { kind, number: 1, parent, author: "on call".into(), proposed_at: 5, body: body.into() }
    }

    #[test]
    fn sealed_document_round_trips_and_any_changed_bit_is_detected() {
        let document = document("s-1\ns-2");
        let sealed = document.seal(&keys(1));
        assert_eq!(Document::open(&sealed, &keys(1)), Ok(document.clone()));
        assert_eq!(Document::open(&sealed, &keys(2)), Err(RejectReason::Key));
        for bit in 0..sealed.len() * 8 {
            let mut corrupted = sealed.clone();
            corrupted[bit / 8] ^= 1 << (bit % 8);
            assert!(Document::open(&corrupted, &keys(1)).is_err(), "bit {bit}");
        }
        for length in 0..sealed.len() {
            assert!(Document::open(&sealed[..length], &keys(1)).is_err());
        }
        let rotated = Keys::new(vec![(7, vec![9; 32]), (1, vec![1; 32])]).expect("valid keys");
        let resealed = document.seal(&rotated);
        assert_ne!(resealed, sealed);
        let opened = Document::open(&resealed, &rotated).expect("an authentic document");
        assert_eq!(opened.version(), document.version(), "another key makes no other version");
    }

    #[test]
    fn invalid_bodies_are_rejected() {
        let Ok(Content::Suspensions(suspended)) = document("s-1\ns-2\ns-1").content() else {
            panic!("a list of suspended members")
        };
        assert_eq!(suspensions_body(&suspended), "s-1\ns-2");
        assert_eq!(document("").content(), Ok(Content::Suspensions(BTreeSet::new())));
        assert!(document("s-1\n\ns-2").content().is_err());
        assert!(document("s 1").content().is_err());
        let settings = Document { kind: Kind::Settings, ..document("{\"services\":") };
        assert!(settings.content().is_err_and(|e| e.starts_with("settings:")));
    }
}
