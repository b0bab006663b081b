//! The operators' file, `deploy/linentrail.hcl`: all that linentrail does beside the platform's protocol. What it leaves
//! out has its default, and by default all of it is off. Nothing of it can be turned on by the environment alone.

pub mod agreement;
pub mod hcl;

use crate::interface::Time;
use agreement::AgreementConfig;
use hcl::{ConfigFault, Reader};
use hcl_edit::expr::Expression;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Where the file lies, from the root of the repository.
pub const DEFAULT_FILE: &str = "deploy/linentrail.hcl";
/// Names another one.
pub const FILE_VARIABLE: &str = "LINENTRAIL_FILE";
/// What it took the place of.
const LEGACY_FILE: &str = "deploy/fronts.toml";
const LEGACY_FILE_VARIABLE: &str = "LINENTRAIL_FRONTS";

/// The OData front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OdataConfig {
    /// Whether it is served.
    pub enabled: bool,
    /// Where it listens.
    pub listen: SocketAddr,
    /// How long ids of bookings are remembered, in us.
    pub repeat_id_lifetime: Time,
    /// How many ids are remembered.
    pub repeat_ids: usize,
    /// How many bytes their answers may take.
    pub repeat_bytes: usize,
}

/// DNS-SD.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DnsSdConfig {
    /// Whether members are browsed for.
    pub browse: bool,
    /// The DNS server.
    pub server: SocketAddr,
    /// The service type and domain of members.
    pub service: String,
    /// The domain in which the OData front is registered.
    pub domain: String,
    /// Its instance name there.
    pub instance: String,
}

/// When what is stored is forced onto the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fsync {
    /// The operators' word before its yes, and snapshots.
    Always,
    /// Never: it outlasts the process, not the machine.
    Never,
}

/// What a start does that cannot read its configuration, but has stored one that held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnBrokenConfig {
    /// It takes the stored one.
    UseStored,
    /// It does not start.
    Refuse,
}

/// What is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreConfig {
    /// Whether anything is.
    pub enabled: bool,
    /// Where; each proxy has a folder of its own name in it.
    pub folder: PathBuf,
    /// When it is forced onto the disk.
    pub fsync: Fsync,
    /// Most bytes that it takes.
    pub max_bytes: u64,
    /// Least time between two snapshots.
    pub snapshot_interval: Duration,
    /// What becomes of a configuration that cannot be read.
    pub on_broken_config: OnBrokenConfig,
    /// Where the operators' word may have been lost: for so long after a start `STATUS` is no, unless they say
    /// `CONFIRM`.
    pub confirm_timeout: Duration,
}

/// The whole file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorsFile {
    /// New clients are still taken for so long after SIGTERM: whoever deals them out takes a while to notice.
    pub accept_after_sigterm: Duration,
    /// The OData front.
    pub odata: OdataConfig,
    /// DNS-SD.
    pub dnssd: DnsSdConfig,
    /// What outlasts the process.
    pub store: StoreConfig,
    /// What the proxies of a fleet agree on.
    pub agreement: AgreementConfig,
}

/// An address on this machine alone.
fn loopback(e: &Expression) -> Option<SocketAddr> {
    e.as_str()?.parse().ok().filter(|a: &SocketAddr| a.ip().is_loopback())
}

const LOCAL: &str = "an address and port on this machine, as \"127.0.0.1:8080\"";

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Reads the file's text.
///
/// # Errors
/// With all that is wrong with it, each with its place.
pub fn read(text: &str) -> Result<OperatorsFile, Vec<ConfigFault>> {
    let mut file = Reader::new(text);
    let mut block = file.block("odata");
    let odata = OdataConfig {
        enabled: block.flag("enabled"),
        listen: block.read("listen", local(8080), LOCAL, loopback),
        repeat_id_lifetime: block.number("repeat_span_s", 600, 1..=1_000_000) * 1_000_000,
        repeat_ids: block.number("repeat_ids", 20_000, 1..=1_000_000) as usize,
        repeat_bytes: block.number("repeat_mib", 32, 1..=65_536) as usize * 1024 * 1024,
    };
    block.finish();
    let mut block = file.block("dnssd");
    let dnssd = DnsSdConfig {
        browse: block.flag("browse"),
        server: block.read("server", local(8053), LOCAL, loopback),
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
        block.add_fault(
            "folder",
            "store.folder must be the whole path of a folder where the store is enabled".into(),
        );
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

/// Refuses by its name what this file took the place of.
///
/// # Errors
/// Where the former file, or the variable that named one, is still there.
pub fn reject_legacy_file(variable: Option<&str>, there: bool) -> Result<(), String> {
    let moved = |what: &str| {
        Err(format!(
            "{what} is no longer read: its settings stand in {DEFAULT_FILE}, or where {FILE_VARIABLE} says"
        ))
    };
    match (variable, there) {
        (Some(_), _) => moved(LEGACY_FILE_VARIABLE),
        (None, true) => moved(LEGACY_FILE),
        (None, false) => Ok(()),
    }
}

/// Reads the file that `LINENTRAIL_FILE` names, or the one in its usual place; with none there, all is off.
///
/// # Errors
/// With all that is wrong, on one line.
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
    fn the_shipped_file_is_sound_and_says_what_no_file_says() {
        let shipped = read(include_str!("../../deploy/linentrail.hcl")).expect("it is sound");
        let none = read("").expect("nothing is sound");
        assert!(!none.odata.enabled && !none.dnssd.browse && !none.store.enabled);
        assert!(!none.agreement.enabled);
        assert_eq!(shipped, none);
    }

    #[test]
    fn addresses_off_this_machine_and_stores_without_a_place_are_refused() {
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
            let told = faults[0].to_string();
            assert!(told.contains(word) && !told.contains('\n'), "{told}");
        }
        let sound = read("store {\n enabled = true\n folder = \"/var/lib/linentrail\"\n}").expect("sound");
        assert_eq!(sound.store.folder, PathBuf::from("/var/lib/linentrail"));
    }

    #[test]
    fn the_former_file_is_refused_by_name() {
        assert_eq!(reject_legacy_file(None, false), Ok(()));
        assert!(reject_legacy_file(Some("x"), false).expect_err("named").contains("LINENTRAIL_FRONTS"));
        assert!(reject_legacy_file(None, true).expect_err("there").contains("deploy/fronts.toml"));
    }
}
