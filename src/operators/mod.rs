//! The operators' file, `deploy/linentrail.hcl`: the settings of all features outside the platform's
//! protocol. A setting that is left out has its default, and by default all these features are off. None of
//! them can be turned on by an environment variable alone.

pub mod agreement;
pub mod hcl;

use crate::interface::Time;
use agreement::AgreementConfig;
use hcl::{ConfigFault, Reader};
use hcl_edit::expr::Expression;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Default path of the file, relative to the root of the repository.
pub const DEFAULT_FILE: &str = "deploy/linentrail.hcl";
/// Environment variable with another path.
pub const FILE_VARIABLE: &str = "LINENTRAIL_FILE";
/// The former file, which is no longer read, and the variable that named it.
const LEGACY_FILE: &str = "deploy/fronts.toml";
const LEGACY_FILE_VARIABLE: &str = "LINENTRAIL_FRONTS";

/// Settings of the OData front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OdataConfig {
    /// Whether the front is served.
    pub enabled: bool,
    /// Address on which it listens.
    pub listen: SocketAddr,
    /// How long repeat ids of bookings are kept, in us.
    pub repeat_id_lifetime: Time,
    /// Maximum number of repeat ids that are kept.
    pub repeat_ids: usize,
    /// Maximum size of the answers stored with them, in bytes.
    pub repeat_bytes: usize,
}

/// Settings of DNS-SD.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DnsSdConfig {
    /// Whether members are discovered by browsing.
    pub browse: bool,
    /// Address of the DNS server.
    pub server: SocketAddr,
    /// Service type and domain of the members.
    pub service: String,
    /// Domain in which the OData front is registered.
    pub domain: String,
    /// Instance name of the OData front in that domain.
    pub instance: String,
}

/// When stored data is synced to disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fsync {
    /// Each command of the operators is synced before it is acknowledged, and each snapshot is synced.
    Always,
    /// Never: stored data survives a crash of the process, but not of the machine.
    Never,
}

/// What to do at startup if the configuration cannot be used, but a previously valid one is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnBrokenConfig {
    /// Use the stored configuration.
    UseStored,
    /// Refuse to start.
    Refuse,
}

/// Settings of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreConfig {
    /// Whether anything is stored.
    pub enabled: bool,
    /// The store's folder; each proxy has a subfolder with its name.
    pub folder: PathBuf,
    /// When stored data is synced to disk.
    pub fsync: Fsync,
    /// Maximum size of the store, in bytes.
    pub max_bytes: u64,
    /// Minimum time between two snapshots.
    pub snapshot_interval: Duration,
    /// What to do if the configuration cannot be used.
    pub on_broken_config: OnBrokenConfig,
    /// If suspensions may have been lost: how long after startup `STATUS` reports that the process is not
    /// ready, unless the operators send `CONFIRM`.
    pub confirm_timeout: Duration,
}

/// The contents of the operators' file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorsFile {
    /// How long new clients are still accepted after SIGTERM, because the component that distributes clients
    /// among the proxies learns of the shutdown late.
    pub accept_after_sigterm: Duration,
    /// Settings of the OData front.
    pub odata: OdataConfig,
    /// Settings of DNS-SD.
    pub dnssd: DnsSdConfig,
    /// Settings of the store, whose data survives the process.
    pub store: StoreConfig,
    /// Settings of the agreement between the proxies of a fleet.
    pub agreement: AgreementConfig,
}

/// Parses an address that is reachable only from this machine.
fn loopback_address(e: &Expression) -> Option<SocketAddr> {
    e.as_str()?.parse().ok().filter(|a: &SocketAddr| a.ip().is_loopback())
}

/// How an error message describes a loopback address.
const LOOPBACK_ADDRESS: &str = "an address and port on this machine, such as \"127.0.0.1:8080\"";

fn localhost(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Parses the text of the file.
///
/// # Errors
/// With all faults of the file, each with its location.
pub fn read(text: &str) -> Result<OperatorsFile, Vec<ConfigFault>> {
    let mut file = Reader::new(text);
    let mut block = file.block("odata");
    let odata = OdataConfig {
        enabled: block.flag("enabled"),
        listen: block.read("listen", localhost(8080), LOOPBACK_ADDRESS, loopback_address),
        repeat_id_lifetime: block.number("repeat_span_s", 600, 1..=1_000_000) * 1_000_000,
        repeat_ids: block.number("repeat_ids", 20_000, 1..=1_000_000) as usize,
        repeat_bytes: block.number("repeat_mib", 32, 1..=65_536) as usize * 1024 * 1024,
    };
    block.finish();
    let mut block = file.block("dnssd");
    let dnssd = DnsSdConfig {
        browse: block.flag("browse"),
        server: block.read("server", localhost(8053), LOOPBACK_ADDRESS, loopback_address),
        service: block.text("service", "_postgresql._tcp.members.luzon-skip-hub.internal."),
        domain: block.text("domain", "luzon-skip-hub.internal."),
        instance: block.text("instance", "linentrail"),
    };
    block.finish();
    let mut block = file.block("shutdown");
    let accept_after_sigterm = Duration::from_millis(block.number("still_coming_ms", 550, 1..=1_000_000));
    block.finish();
    let mut block = file.block("store");
    let store = StoreConfig {
        enabled: block.flag("enabled"),
        folder: block.text("folder", "").into(),
        fsync: block.choice("fsync", &[("word", Fsync::Always), ("never", Fsync::Never)]),
        max_bytes: block.number("most_mib", 16, 1..=1_024) << 20,
        snapshot_interval: Duration::from_millis(block.number("every_ms", 1_000, 50..=3_600_000)),
        on_broken_config: block.choice(
            "broken",
            &[("take_last", OnBrokenConfig::UseStored), ("refuse", OnBrokenConfig::Refuse)],
        ),
        confirm_timeout: Duration::from_secs(block.number("confirm_s", 0, 0..=86_400)),
    };
    if store.enabled && !store.folder.is_absolute() {
        block.add_fault("folder", "store.folder must be an absolute path if the store is enabled".into());
    }
    block.finish();
    let agreement = agreement::read(&mut file, store.enabled);
    let faults = file.finish();
    if faults.is_empty() {
        Ok(OperatorsFile { accept_after_sigterm, odata, dnssd, store, agreement })
    } else {
        Err(faults)
    }
}

/// Rejects the former file, or the variable that named it, with a message that contains its name.
///
/// # Errors
/// If the former file exists or its variable is set.
pub fn reject_legacy_file(variable: Option<&str>, exists: bool) -> Result<(), String> {
    let legacy = |what: &str| {
        Err(format!(
            "{what} is no longer read: its settings belong in {DEFAULT_FILE}, or in the file that \
             {FILE_VARIABLE} names"
        ))
    };
    match (variable, exists) {
        (Some(_), _) => legacy(LEGACY_FILE_VARIABLE),
        (None, true) => legacy(LEGACY_FILE),
        (None, false) => Ok(()),
    }
}

/// Reads the file that `LINENTRAIL_FILE` names, or the one at the default path; if that does not exist, all
/// features are off.
///
/// # Errors
/// With all faults, on one line.
pub fn load() -> Result<OperatorsFile, String> {
    reject_legacy_file(std::env::var(LEGACY_FILE_VARIABLE).ok().as_deref(), Path::new(LEGACY_FILE).exists())?;
    let named = std::env::var(FILE_VARIABLE).ok();
    let path = named.as_deref().unwrap_or(DEFAULT_FILE);
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound && named.is_none() => String::new(),
        Err(e) => return Err(format!("{path}: {e}")),
    };
    read(&text).map_err(|faults| {
        let all: Vec<String> = faults.iter().map(|f| format!("{path}:{f}")).collect();
        all.join("; ")
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shipped_file_is_valid_and_equals_the_defaults() {
        let shipped = read(include_str!("../../deploy/linentrail.hcl")).expect("valid");
        let none = read("").expect("an empty file is valid");
        assert!(!none.odata.enabled && !none.dnssd.browse && !none.store.enabled);
        assert!(!none.agreement.enabled);
        assert_eq!(shipped, none);
    }

    #[test]
    fn addresses_off_this_machine_and_stores_without_a_folder_are_refused() {
        for (text, word) in [
            ("odata {\n listen = \"0.0.0.0:80\"\n}", "odata.listen"),
            ("dnssd {\n server = \"192.0.2.1:53\"\n}", "dnssd.server"),
            ("odata {\n enabled = 3\n}", "odata.enabled"),
            ("store {\n enabled = true\n}", "store.folder"),
            ("store {\n enabled = true\n folder = \"here\"\n}", "store.folder"),
            ("store {\n fsync = \"often\"\n}", "word, never"),
            ("odata {", ""),
        ] {
            let faults = read(text).expect_err(text);
            assert_eq!(faults.len(), 1, "{faults:?}");
            let message = faults[0].to_string();
            assert!(message.contains(word) && !message.contains('\n'), "{message}");
        }
        let valid = read("store {\n enabled = true\n folder = \"/var/lib/linentrail\"\n}").expect("valid");
        assert_eq!(valid.store.folder, PathBuf::from("/var/lib/linentrail"));
    }

    #[test]
    fn the_former_file_is_refused_by_name() {
        assert_eq!(reject_legacy_file(None, false), Ok(()));
        assert!(reject_legacy_file(Some("x"), false).expect_err("named").contains("LINENTRAIL_FRONTS"));
        assert!(reject_legacy_file(None, true).expect_err("there").contains("deploy/fronts.toml"));
    }
}
