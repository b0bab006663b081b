//! A document: one version of the settings that all share, or of which members are out by hand for the whole fleet. It
//! names the version that it follows on and who proposed it, and is authenticated with the fleet's key: what no operator
//! has proposed nobody acts on, whoever may have sent it.

use super::rules::FleetSettings;
use super::seal::{Bad, Keys};
use super::{Hash, Kind, Version};
use crate::interface::Time;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Longest document, in bytes with all that is around it.
pub const LONGEST: usize = 1024 * 1024;
/// Most members that may be out.
pub const OUT_MOST: usize = crate::effective_list::MAX_SUSPENDED;
const PURPOSE: &str = "linentrail document 1";

/// A document as it is agreed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// What it is about.
    pub kind: Kind,
    /// Its number among all of its kind, from 1.
    pub number: u64,
    /// The hash of the version before it; that of the first is zero.
    pub parent: Hash,
    /// Who proposed it, as the operators name themselves.
    pub author: String,
    /// When, in us of Unix time by the clock of the proxy that it was proposed at.
    pub at: Time,
    /// What it says: settings as JSON, members by id, a line each.
    pub body: String,
}

/// What a document says.
#[derive(Debug, Clone, PartialEq)]
pub enum Content {
    /// Settings.
    Settings(Box<FleetSettings>),
    /// Members that are out.
    Hands(BTreeSet<Arc<str>>),
}

/// A document with its code.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Sealed {
    document: Document,
    key: u8,
    code: Vec<u8>,
}

impl Document {
    fn bytes(&self) -> Vec<u8> {
        postcard::to_extend(self, Vec::new()).unwrap_or_default()
    }

    /// Its version: the hash is of what it says, not of the key that signed it.
    pub fn version(&self) -> Version {
        Version { number: self.number, hash: Hash(Sha256::digest(self.bytes()).into()) }
    }

    /// Its bytes, with a code by the fleet's key.
    pub fn seal(&self, keys: &Keys) -> Vec<u8> {
        let (key, code) = keys.sign(PURPOSE, &self.bytes());
        let sealed = Sealed { document: self.clone(), key, code: code.to_vec() };
        postcard::to_extend(&sealed, Vec::new()).unwrap_or_default()
    }

    /// Reads one that a holder of the fleet's key has made.
    ///
    /// # Errors
    /// Why it is not used.
    pub fn open(bytes: &[u8], keys: &Keys) -> Result<Self, Bad> {
        if bytes.len() > LONGEST {
            return Err(Bad::Unreadable);
        }
        let (sealed, rest): (Sealed, _) = postcard::take_from_bytes(bytes).map_err(|_| Bad::Unreadable)?;
        keys.check(PURPOSE, &sealed.document.bytes(), (sealed.key, &sealed.code))?;
        if rest.is_empty() {
            Ok(sealed.document)
        } else {
            Err(Bad::Unreadable)
        }
    }

    /// What it says.
    ///
    /// # Errors
    /// With all that is wrong with it.
    pub fn content(&self) -> Result<Content, String> {
        match self.kind {
            Kind::Settings => {
                let json = serde_json::from_str(&self.body).map_err(|e| format!("settings: {e}"))?;
                Ok(Content::Settings(Box::new(FleetSettings::read(&json)?)))
            }
            Kind::Hands => {
                let out: BTreeSet<Arc<str>> = self.body.lines().map(Arc::from).collect();
                let odd = |id: &Arc<str>| id.is_empty() || id.contains(char::is_whitespace);
                match out.iter().find(|id| odd(id)) {
                    Some(id) => Err(format!("hands: '{id}' is no member's id")),
                    None if out.len() > OUT_MOST => {
                        Err(format!("hands: {} are out, {OUT_MOST} may be", out.len()))
                    }
                    None => Ok(Content::Hands(out)),
                }
            }
        }
    }
}

/// The body of a document of the members that are out.
pub fn hands(out: &BTreeSet<Arc<str>>) -> String {
    out.iter().map(|id| &**id).collect::<Vec<&str>>().join("\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(id: u8) -> Keys {
        Keys::new(vec![(id, vec![id; 32])]).expect("sound")
    }

    fn document(body: &str) -> Document {
        let (kind, parent) = (Kind::Hands, Hash::default());
        Document { kind, number: 1, parent, author: "on call".into(), at: 5, body: body.into() }
    }

    #[test]
    fn a_document_comes_back_as_it_was_and_no_bit_of_it_can_be_changed() {
        let document = document("s-1\ns-2");
        let sealed = document.seal(&keys(1));
        assert_eq!(Document::open(&sealed, &keys(1)), Ok(document.clone()));
        assert_eq!(Document::open(&sealed, &keys(2)), Err(Bad::Key));
        for bit in 0..sealed.len() * 8 {
            let mut spoilt = sealed.clone();
            spoilt[bit / 8] ^= 1 << (bit % 8);
            assert!(Document::open(&spoilt, &keys(1)).is_err(), "bit {bit}");
        }
        for length in 0..sealed.len() {
            assert!(Document::open(&sealed[..length], &keys(1)).is_err());
        }
        let other = Keys::new(vec![(7, vec![9; 32]), (1, vec![1; 32])]).expect("sound");
        let again = document.seal(&other);
        assert_ne!(again, sealed);
        let opened = Document::open(&again, &other).expect("sound");
        assert_eq!(opened.version(), document.version(), "another key makes no other version");
    }

    #[test]
    fn what_it_says_is_read_strictly() {
        let Ok(Content::Hands(out)) = document("s-1\ns-2\ns-1").content() else { panic!("hands") };
        assert_eq!(hands(&out), "s-1\ns-2");
        assert_eq!(document("").content(), Ok(Content::Hands(BTreeSet::new())));
        assert!(document("s-1\n\ns-2").content().is_err());
        assert!(document("s 1").content().is_err());
        let settings = Document { kind: Kind::Settings, ..document("{\"services\":") };
        assert!(settings.content().is_err_and(|e| e.starts_with("settings:")));
    }
}
