//! What the platform tells a proxy: the file that `BALANCER_CONFIG` names, and the variables beside it.

use crate::settings::Pairs;
use serde_json::Value;

/// All that a proxy is told.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where operators call, if anywhere.
    pub console: Option<String>,
    /// Where discovery is asked.
    pub discovery: String,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Most descriptors.
    pub sockets: usize,
    /// Most memory, in bytes.
    pub memory: usize,
    /// The member list as this proxy last held it.
    pub known: Value,
    /// The settings, flat.
    pub settings: Pairs,
}

impl Config {
    /// Whether nothing but discovery's address, and what only a start needs, has changed.
    pub fn same_but_discovery(&self, other: &Config) -> bool {
        (&self.listen, self.sockets, self.memory) == (&other.listen, other.sockets, other.memory)
            && self.settings == other.settings
    }
}

/// Reads a configuration; a variable that `variable` knows wins over the file.
///
/// # Errors
/// With one plain message on what is missing or malformed, as in a file that is only half written.
pub fn read(text: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let json: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let text = |name: &str, known_as: &str| {
        let file = || json.get(name).and_then(Value::as_str).filter(|v| !v.is_empty()).map(str::to_string);
        variable(known_as).or_else(file).ok_or_else(|| format!("neither {known_as} nor '{name}' is given"))
    };
    let console = variable("BALANCER_CONSOLE").filter(|v| !v.is_empty());
    let console = console.or_else(|| json.get("console").and_then(Value::as_str).map(str::to_string));
    let limit = |name: &str, or: u64| json.pointer(name).and_then(Value::as_u64).unwrap_or(or) as usize;
    let seed = json.get("seed").and_then(Value::as_str).unwrap_or("0");
    let name = variable("BALANCER_NAME").or_else(|| Some(json.get("name")?.as_str()?.to_string()));
    Ok(Config {
        name: name.unwrap_or_default(),
        listen: text("listen", "BALANCER_LISTEN")?,
        console: console.filter(|v| !v.is_empty()),
        discovery: text("discovery", "BALANCER_DISCOVERY")?,
        seed: u64::from_str_radix(seed, 16).map_err(|_| format!("the seed '{seed}' is not hex"))?,
        sockets: limit("/limits/sockets", 1024),
        memory: limit("/limits/memory_mb", 192).saturating_mul(1024 * 1024),
        known: json.get("known").cloned().unwrap_or_default(),
        settings: Pairs::from_json(json.get("settings").unwrap_or(&Value::Null)),
    })
}

/// Reads the file that `BALANCER_CONFIG` names; `anew`: while the program runs. Its environment is then as old as
/// its start, so that only the file can tell where discovery is now.
///
/// # Errors
/// With one plain message.
pub fn load(anew: bool) -> Result<Config, String> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG is not set".to_string())?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    let counts = |name: &str| !(anew && name == "BALANCER_DISCOVERY");
    let variable = |name: &str| std::env::var(name).ok().filter(|_| counts(name));
    read(&text, variable).map_err(|e| format!("{path}: {e}"))
}
