//! The block `agreement` of the operators' file: who the proxies of a fleet are, which of them vote, with which keys they
//! speak, and the times that all must have alike.

use super::hcl::Reader;
use crate::agreement::seal::{Keys, KEY_BYTES_MIN};
use crate::agreement::{ProxyNumber, Timing, FLEET_MAX, VOTERS_MAX};
use hcl_edit::expr::Expression;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a proxy does whose lease has run out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnLeaseExpiry {
    /// It sends nothing more and refuses, with when to come back.
    Refuse,
    /// It goes on by what it knew, and says so: the bound is then not kept.
    Continue,
}

/// The block.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgreementConfig {
    /// Whether this proxy takes part.
    pub enabled: bool,
    /// Its number.
    pub own_number: ProxyNumber,
    /// All proxies, by number, and where each is spoken to (UDP, and TCP for what does not fit).
    pub proxies: BTreeMap<ProxyNumber, SocketAddr>,
    /// Those that vote.
    pub voters: Vec<ProxyNumber>,
    /// Ids of keys and the files that hold them; the first one signs.
    pub keys: Vec<(u8, PathBuf)>,
    /// The timing that all have alike.
    pub timing: Timing,
    /// What becomes of requests without a lease.
    pub on_lease_expiry: OnLeaseExpiry,
    /// Whether a later member list is taken from another proxy, where discovery has not told it here.
    pub exchange_lists: bool,
}

impl AgreementConfig {
    /// The keys, read from their files.
    ///
    /// # Errors
    /// Which of them cannot be used, and why.
    pub fn read_keys(&self) -> Result<Keys, String> {
        let one = |(id, path): &(u8, PathBuf)| {
            let bad = |why: String| format!("agreement.keys: {}: {why}", path.display());
            let bytes = std::fs::read(path).map_err(|e| bad(e.to_string()))?;
            let key = bytes.trim_ascii().to_vec();
            if key.len() < KEY_BYTES_MIN {
                return Err(bad(format!("a key has {KEY_BYTES_MIN} bytes at least")));
            }
            Ok((*id, key))
        };
        Keys::new(self.keys.iter().map(one).collect::<Result<_, _>>()?)
            .map_err(|e| format!("agreement.keys: {e}"))
    }
}

/// A list of texts, each read as a number and what follows it.
fn numbered<N: std::str::FromStr + Ord, T>(
    e: &Expression,
    read: impl Fn(&str) -> Option<T>,
) -> Option<Vec<(N, T)>> {
    let one = |e: &Expression| {
        let (number, rest) = e.as_str()?.split_once(' ')?;
        Some((number.parse().ok()?, read(rest.trim())?))
    };
    e.as_array()?.iter().map(one).collect()
}

/// Reads the block; `stores` says whether the proxy has a store.
pub fn read(file: &mut Reader, stores: bool) -> AgreementConfig {
    let mut block = file.block("agreement");
    let enabled = block.flag("enabled");
    let own_number = block.number("me", 0, 1..=u64::from(ProxyNumber::MAX)) as ProxyNumber;
    let what = "a list of \"NUMBER ADDRESS:PORT\" on this machine, each number once";
    let proxies: BTreeMap<ProxyNumber, SocketAddr> = block.read("proxies", BTreeMap::new(), what, |e| {
        let address = |text: &str| text.parse().ok().filter(|a: &SocketAddr| a.ip().is_loopback());
        let all: Vec<(ProxyNumber, SocketAddr)> = numbered(e, address)?;
        let (count, map) = (all.len(), all.into_iter().collect::<BTreeMap<_, _>>());
        (map.len() == count && count <= FLEET_MAX).then_some(map)
    });
    let what = "a list of proxies' numbers";
    let voters: Vec<ProxyNumber> = block.read("voters", Vec::new(), what, |e| {
        let number = |e: &Expression| ProxyNumber::try_from(e.as_number()?.as_u64()?).ok();
        e.as_array()?.iter().map(number).collect()
    });
    let what = "a list of \"ID /PATH/OF/THE/KEY\", with one at least";
    let keys: Vec<(u8, PathBuf)> = block.read("keys", Vec::new(), what, |e| {
        numbered(e, |path| Some(PathBuf::from(path)).filter(|p| p.is_absolute()))
            .filter(|keys| !keys.is_empty())
    });
    let timing = Timing {
        lease: block.number("lease_ms", 800, 100..=60_000) * 1000,
        drift_ppm: block.number("drift_ppm", 10_000, 0..=200_000),
        round: block.number("round_ms", 50, 5..=5_000) * 1000,
    };
    let on_lease_expiry =
        block.choice("on_lapse", &[("refuse", OnLeaseExpiry::Refuse), ("go_on", OnLeaseExpiry::Continue)]);
    let exchange_lists = block.flag("lists");
    if enabled {
        // What follows from proxies that cannot be read is not told beside that.
        let unread = |name: &str, empty: bool| empty && block.is_set(name);
        let known = !unread("proxies", proxies.is_empty());
        let keyless = keys.is_empty() && !block.is_set("keys");
        let voting = known && !unread("voters", voters.is_empty());
        let mut wrong = |name: &str, bad: bool, what: String| {
            if bad {
                block.add_fault(name, format!("agreement.{name} {what}"));
            }
        };
        wrong(
            "me",
            known && !proxies.contains_key(&own_number),
            format!("is {own_number}, which is none of agreement.proxies"),
        );
        let twice = voters.iter().enumerate().any(|(n, v)| voters[..n].contains(v));
        let unknown = voters.iter().any(|v| !proxies.contains_key(v));
        let what =
            format!("must name 1 to {VOTERS_MAX} of agreement.proxies, each once, and an odd number of them");
        wrong(
            "voters",
            voting && (twice || unknown || voters.len() > VOTERS_MAX || voters.len().is_multiple_of(2)),
            what,
        );
        wrong("keys", keyless, "must name a key".into());
        let what = format!("must be eight times round_ms, {}, or longer", timing.round / 1000);
        wrong("lease_ms", timing.lease < 8 * timing.round, what);
        // What a voter promises must outlast it.
        wrong("enabled", voters.contains(&own_number) && !stores, "needs a store: this proxy votes".into());
    }
    block.finish();
    AgreementConfig { enabled, own_number, proxies, voters, keys, timing, on_lease_expiry, exchange_lists }
}

#[cfg(test)]
mod tests {
    use super::super::read;
    use super::*;

    const SOUND: &str =
        "store {\n enabled = true\n folder = \"/x\"\n}\nagreement {\n enabled = true\n me = 2\n \
        proxies = [\"1 127.0.0.1:7001\", \"2 127.0.0.1:7002\", \"3 127.0.0.1:7003\"]\n voters = [1, 2, 3]\n \
        keys = [\"1 /k\"]\n}";

    #[test]
    fn a_sound_block_is_read_and_without_one_nothing_is_on() {
        let none = read("").expect("nothing is sound").agreement;
        assert!(!none.enabled && none.proxies.is_empty());
        let block = read(SOUND).expect("sound").agreement;
        assert_eq!((block.own_number, block.voters.len(), block.proxies.len()), (2, 3, 3));
        assert_eq!(block.on_lease_expiry, OnLeaseExpiry::Refuse);
        // Printed by `check`: with the defaults no more than 2 s.
        assert!(block.timing.change_bound() <= 2_000_000, "{}", block.timing.change_bound());
    }

    #[test]
    fn a_fleet_of_1200_proxies_is_read_and_one_past_the_bound_is_not() {
        let fleet =
            |proxies: usize| {
                let one = |n: usize| format!("\"{n} 127.{}.{}.1:7001\"", 1 + n / 250, n % 250);
                let all: Vec<String> = (1..=proxies).map(one).collect();
                read(&SOUND.replace(
                    "\"1 127.0.0.1:7001\", \"2 127.0.0.1:7002\", \"3 127.0.0.1:7003\"",
                    &all.join(", "),
                ))
            };
        for proxies in [1_200, FLEET_MAX] {
            assert_eq!(fleet(proxies).expect("sound").agreement.proxies.len(), proxies);
        }
        assert!(fleet(FLEET_MAX + 1).is_err());
    }

    #[test]
    fn each_fault_is_told_with_its_place() {
        for (from, to, word) in [
            ("me = 2", "me = 9", "7:7: agreement.me is 9"),
            ("[1, 2, 3]", "[1, 2]", "agreement.voters"),
            ("[1, 2, 3]", "[1, 2, 2]", "agreement.voters"),
            ("[1, 2, 3]", "[1, 2, 7]", "agreement.voters"),
            ("\"3 127", "\"2 127", "agreement.proxies"),
            ("127.0.0.1:7003", "192.0.2.1:7003", "agreement.proxies"),
            ("\"1 /k\"", "\"1 k\"", "agreement.keys"),
            ("[\"1 /k\"]", "[]", "agreement.keys must be a list"),
            ("keys = [\"1 /k\"]", "", "agreement.keys must name a key"),
            ("me = 2", "me = 2\n lease_ms = 300", "agreement.lease_ms"),
            ("store {\n enabled = true", "store {\n enabled = false", "needs a store"),
        ] {
            let text = SOUND.replace(from, to);
            assert_ne!(text, SOUND);
            let faults = read(&text).expect_err(to);
            assert!(faults.len() == 1 && faults[0].to_string().contains(word), "{to}: {faults:?}");
        }
        // One that does not vote needs no disk.
        let text = SOUND
            .replace("[1, 2, 3]", "[1]")
            .replace("store {\n enabled = true", "store {\n enabled = false");
        assert!(read(&text).is_ok());
    }
}
