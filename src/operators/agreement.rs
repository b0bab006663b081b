//! The block `agreement` of the operators' file: the proxies of a fleet, which of them vote, the keys that sign their
//! messages, and the times that must be equal at all proxies.

use super::hcl::Reader;
use crate::agreement::seal::{Keys, KEY_BYTES_MIN};
use crate::agreement::{ProxyNumber, Timing, FLEET_MAX, VOTERS_MAX};
use hcl_edit::expr::Expression;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a proxy does after its lease has expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnLeaseExpiry {
    /// Send no more requests to members, and refuse clients' requests with a time after which to retry.
    Refuse,
    /// Continue with the last known versions and log this. The bound on the time of a change then no longer holds.
    Continue,
}

/// The values of the block.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgreementConfig {
    /// Whether this proxy takes part.
    pub enabled: bool,
    /// This proxy's number.
    pub own_number: ProxyNumber,
    /// All proxies by number, with their addresses (UDP, and TCP for what does not fit into a datagram).
    pub proxies: BTreeMap<ProxyNumber, SocketAddr>,
    /// The proxies that vote.
    pub voters: Vec<ProxyNumber>,
    /// Ids of keys with the files that contain them; the first key signs.
    pub keys: Vec<(u8, PathBuf)>,
    /// Times that must be equal at all proxies.
    pub timing: Timing,
    /// What to do with requests after the lease has expired.
    pub on_lease_expiry: OnLeaseExpiry,
    /// Whether to take over a newer member list from another proxy if discovery has not sent it to this one.
    pub exchange_lists: bool,
}

impl AgreementConfig {
    /// Reads the keys from their files.
    ///
    /// # Errors
    /// Names the key that cannot be used, and the reason.
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

/// Parses a list of strings, each a number followed by a value.
fn numbered_list<N: std::str::FromStr + Ord, T>(
    e: &Expression,
    read: impl Fn(&str) -> Option<T>,
) -> Option<Vec<(N, T)>> {
    let one = |e: &Expression| {
        let (number, rest) = e.as_str()?.split_once(' ')?;
        Some((number.parse().ok()?, read(rest.trim())?))
    };
    e.as_array()?.iter().map(one).collect()
}

/// Reads the block; `has_store` says whether the proxy has a store.
pub fn read(file: &mut Reader, has_store: bool) -> AgreementConfig {
    let mut block = file.block("agreement");
    let enabled = block.flag("enabled");
    let own_number = block.number("me", 0, 1..=u64::from(ProxyNumber::MAX)) as ProxyNumber;
    let what = "a list of \"NUMBER ADDRESS:PORT\" on this machine, each number once";
    let proxies: BTreeMap<ProxyNumber, SocketAddr> = block.read("proxies", BTreeMap::new(), what, |e| {
        let address = |text: &str| text.parse().ok().filter(|a: &SocketAddr| a.ip().is_loopback());
        let all: Vec<(ProxyNumber, SocketAddr)> = numbered_list(e, address)?;
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
        numbered_list(e, |path| Some(PathBuf::from(path)).filter(|p| p.is_absolute()))
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
        // Faults that only follow from a list that could not be parsed are not reported in addition.
        let unparsed = |name: &str, empty: bool| empty && block.is_set(name);
        let proxies_valid = !unparsed("proxies", proxies.is_empty());
        let keys_missing = keys.is_empty() && !block.is_set("keys");
        let voters_valid = proxies_valid && !unparsed("voters", voters.is_empty());
        let mut check = |name: &str, bad: bool, what: String| {
            if bad {
                block.add_fault(name, format!("agreement.{name} {what}"));
            }
        };
        check(
            "me",
            proxies_valid && !proxies.contains_key(&own_number),
            format!("is {own_number}, which is none of agreement.proxies"),
        );
        let duplicate = voters.iter().enumerate().any(|(n, v)| voters[..n].contains(v));
        let unknown = voters.iter().any(|v| !proxies.contains_key(v));
        let what =
            format!("must name 1 to {VOTERS_MAX} of agreement.proxies, each once, and an odd number of them");
        check(
            "voters",
            voters_valid
                && (duplicate || unknown || voters.len() > VOTERS_MAX || voters.len().is_multiple_of(2)),
            what,
        );
        check("keys", keys_missing, "must name a key".into());
        let what = format!("must be eight times round_ms, {}, or longer", timing.round / 1000);
        check("lease_ms", timing.lease < 8 * timing.round, what);
        // A voter's promises must survive its process.
        check(
            "enabled",
            voters.contains(&own_number) && !has_store,
            "needs a store: this proxy votes".into(),
        );
    }
    block.finish();
    AgreementConfig { enabled, own_number, proxies, voters, keys, timing, on_lease_expiry, exchange_lists }
}

#[cfg(test)]
mod tests {
    use super::super::read;
    use super::*;

    const VALID: &str =
        "store {\n enabled = true\n folder = \"/x\"\n}\nagreement {\n enabled = true\n me = 2\n \
        proxies = [\"1 127.0.0.1:7001\", \"2 127.0.0.1:7002\", \"3 127.0.0.1:7003\"]\n voters = [1, 2, 3]\n \
        keys = [\"1 /k\"]\n}";

    #[test]
    fn a_valid_block_is_read_and_without_a_block_agreement_is_off() {
        let none = read("").expect("an empty file is valid").agreement;
        assert!(!none.enabled && none.proxies.is_empty());
        let block = read(VALID).expect("valid").agreement;
        assert_eq!((block.own_number, block.voters.len(), block.proxies.len()), (2, 3, 3));
        assert_eq!(block.on_lease_expiry, OnLeaseExpiry::Refuse);
        // The bound that `check` prints; at most 2 s with the defaults.
        assert!(block.timing.change_bound() <= 2_000_000, "{}", block.timing.change_bound());
    }

    #[test]
    fn a_fleet_of_1200_proxies_is_read_and_one_above_the_limit_is_not() {
        let fleet =
            |proxies: usize| {
                let one = |n: usize| format!("\"{n} 127.{}.{}.1:7001\"", 1 + n / 250, n % 250);
                let all: Vec<String> = (1..=proxies).map(one).collect();
                read(&VALID.replace(
                    "\"1 127.0.0.1:7001\", \"2 127.0.0.1:7002\", \"3 127.0.0.1:7003\"",
                    &all.join(", "),
                ))
            };
        for proxies in [1_200, FLEET_MAX] {
            assert_eq!(fleet(proxies).expect("valid").agreement.proxies.len(), proxies);
        }
        assert!(fleet(FLEET_MAX + 1).is_err());
    }

    #[test]
    fn each_fault_is_reported_with_its_location() {
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
            let text = VALID.replace(from, to);
            assert_ne!(text, VALID);
            let faults = read(&text).expect_err(to);
            assert!(faults.len() == 1 && faults[0].to_string().contains(word), "{to}: {faults:?}");
        }
        // A proxy that does not vote needs no store.
        let text = VALID
            .replace("[1, 2, 3]", "[1]")
            .replace("store {\n enabled = true", "store {\n enabled = false");
        assert!(read(&text).is_ok());
    }
}
