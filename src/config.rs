//! The configuration that the platform gives a proxy: the file that `BALANCER_CONFIG` names, and environment
//! variables.

use crate::interface::Settings;
use crate::settings::{FlatSettings, Names, SocketTimes};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value};

/// A parsed configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The proxy's name, which stays the same after a restart.
    pub name: String,
    /// Address on which clients connect.
    pub listen: String,
    /// Address of the console, if there is one.
    pub console: Option<String>,
    /// Address of the discovery service.
    pub discovery: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of file descriptors.
    pub max_descriptors: usize,
    /// Maximum memory, in bytes.
    pub max_memory_bytes: usize,
    /// The member list to start with: the last one that this proxy had. Empty after a reload.
    pub initial_list: Value,
    /// The settings, flattened.
    pub settings: FlatSettings,
    /// All fields of the file except the member list, flattened.
    pub all_fields: FlatSettings,
}

/// Number of missing fields that an error message names; the others are only counted.
const MISSING_KEYS_SHOWN: usize = 5;

/// The settings of a configuration, fully validated.
#[derive(Debug, Clone)]
pub struct ValidatedConfig {
    /// Names of classes and tenants, in the order of the settings.
    pub names: Names,
    /// Settings of the policy module.
    pub settings: Settings,
    /// Times of the connections to members.
    pub times: SocketTimes,
}

impl Config {
    /// Validates all settings.
    ///
    /// # Errors
    /// Describes what is wrong with them.
    pub fn validate(&self) -> Result<ValidatedConfig, String> {
        let names = self.settings.names()?;
        let settings = self.settings.settings(self.seed)?;
        settings.check().map_err(|e| e.to_string())?;
        if let Some(fault) = names.duplicates().next() {
            return Err(format!("settings: {fault}"));
        }
        Ok(ValidatedConfig { names, settings, times: self.settings.socket_times()? })
    }

    /// Names the fields that differ in a new configuration and take effect only after a restart.
    pub fn changes_requiring_restart(&self, new: &Config) -> Vec<&'static str> {
        let mut changed = Vec::new();
        for (field, differs) in [
            ("listen", self.listen != new.listen),
            ("console", self.console != new.console),
            ("limits.sockets", self.max_descriptors != new.max_descriptors),
            ("limits.memory_mb", self.max_memory_bytes != new.max_memory_bytes),
        ] {
            if differs {
                changed.push(field);
            }
        }
        changed
    }
}

/// Parses and validates a configuration that is to replace the running one. It is accepted as a whole or not
/// at all.
///
/// # Errors
/// With a single message that says what is wrong with it.
pub fn parse_replacement(
    text: &[u8],
    running: &Config,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<(Config, ValidatedConfig), String> {
    // The running process has a newer list than the file.
    let (new, _) = parse_fields(text, variable)?;
    let missing = new.all_fields.missing_keys(&running.all_fields);
    if !missing.is_empty() {
        let (first, rest) = (
            missing[..missing.len().min(MISSING_KEYS_SHOWN)].join(", "),
            missing.len().saturating_sub(MISSING_KEYS_SHOWN),
        );
        let more = if rest > 0 { format!(" and {rest} more") } else { String::new() };
        return Err(format!("missing, though the running configuration has them: {first}{more}"));
    }
    let mut validated = new.validate()?;
    if running.settings.names().is_ok_and(|names| names.zones != validated.names.zones) {
        return Err("settings: zones cannot change while the process runs".to_string());
    }
    // The running process keeps its seed.
    validated.settings.seed = running.seed;
    Ok((new, validated))
}

/// The text of a configuration: its fields, and the member list, which may be as long as a list of discovery.
#[derive(Deserialize)]
struct ConfigText<'a> {
    #[serde(borrow, default)]
    known: Option<&'a RawValue>,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Parses a configuration as at startup. A value that `variable` returns for an environment variable takes
/// precedence over the file.
///
/// # Errors
/// With a single message on what is missing or malformed, for instance in a file that is only partly written.
pub fn parse(text: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let (config, initial_list) = parse_fields(text, variable)?;
    let initial_list = initial_list.map(|list| serde_json::from_str(list.get())).transpose();
    Ok(Config { initial_list: initial_list.map_err(|e| e.to_string())?.unwrap_or_default(), ..config })
}

/// Parses a configuration except for its member list, which is returned as text.
fn parse_fields(
    text: &[u8],
    variable: impl Fn(&str) -> Option<String>,
) -> Result<(Config, Option<&RawValue>), String> {
    let ConfigText { known, fields } = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let json = Value::Object(fields);
    let text = |name: &str, variable_name: &str| {
        let file = || json.get(name).and_then(Value::as_str).filter(|v| !v.is_empty()).map(str::to_string);
        variable(variable_name)
            .or_else(file)
            .ok_or_else(|| format!("neither {variable_name} nor '{name}' is given"))
    };
    let console = variable("BALANCER_CONSOLE").filter(|v| !v.is_empty());
    let console = console.or_else(|| json.get("console").and_then(Value::as_str).map(str::to_string));
    let limit = |pointer: &str, default: u64| {
        json.pointer(pointer).and_then(Value::as_u64).unwrap_or(default) as usize
    };
    let seed = json.get("seed").and_then(Value::as_str).unwrap_or("0");
    let name = variable("BALANCER_NAME").or_else(|| Some(json.get("name")?.as_str()?.to_string()));
    let config = Config {
        name: name.unwrap_or_default(),
        listen: text("listen", "BALANCER_LISTEN")?,
        console: console.filter(|v| !v.is_empty()),
        discovery: text("discovery", "BALANCER_DISCOVERY")?,
        seed: u64::from_str_radix(seed, 16).map_err(|_| format!("the seed '{seed}' is not hex"))?,
        max_descriptors: limit("/limits/sockets", 1024),
        max_memory_bytes: limit("/limits/memory_mb", 192).saturating_mul(1024 * 1024),
        initial_list: Value::Null,
        settings: FlatSettings::from_json(json.get("settings").unwrap_or(&Value::Null)),
        all_fields: FlatSettings::from_json(&json),
    };
    Ok((config, known))
}

/// Reads the file that `BALANCER_CONFIG` names and returns its path and contents.
///
/// # Errors
/// If the variable is not set or the file cannot be read.
pub fn read_file() -> Result<(String, Vec<u8>), String> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG is not set".to_string())?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    Ok((path, text))
}

/// Returns the value of an environment variable, or else of a field of the file that `BALANCER_CONFIG` names.
/// This works even if the file is not a valid configuration.
///
/// # Errors
/// If neither has a value.
pub fn lookup(variable: &str, field: &str) -> Result<String, String> {
    if let Some(value) = std::env::var(variable).ok().filter(|value| !value.is_empty()) {
        return Ok(value);
    }
    let (path, text) = read_file()?;
    let json: Option<Value> = serde_json::from_slice(&text).ok();
    let value = json.as_ref().and_then(|j| j.get(field)?.as_str()).filter(|value| !value.is_empty());
    value
        .map(str::to_string)
        .ok_or_else(|| format!("{path}: neither the field {field} nor the variable {variable} is set"))
}

/// Returns the address on which clients connect. The rest of the file is not validated, because startup
/// listens on this address first.
///
/// # Errors
/// If neither `BALANCER_LISTEN` nor the file contains it.
pub fn listen_address() -> Result<String, String> {
    #[derive(Deserialize)]
    struct ListenField {
        listen: String,
    }
    if let Some(value) = std::env::var("BALANCER_LISTEN").ok().filter(|value| !value.is_empty()) {
        return Ok(value);
    }
    let (path, text) = read_file()?;
    let fields: ListenField = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
    Ok(fields.listen)
}

/// Reads, parses and validates the file that `BALANCER_CONFIG` names.
///
/// # Errors
/// With a single message that begins with the file's path.
pub fn load() -> Result<(Config, ValidatedConfig, Vec<u8>), String> {
    let (path, text) = read_file()?;
    let (config, validated) = parse_and_validate(&text).map_err(|e| format!("{path}: {e}"))?;
    Ok((config, validated, text))
}

/// Parses a configuration as at startup, with the environment's variables, and validates it.
///
/// # Errors
/// With a single message.
pub fn parse_and_validate(text: &[u8]) -> Result<(Config, ValidatedConfig), String> {
    let config = parse(text, |name| std::env::var(name).ok())?;
    let validated = config.validate()?;
    Ok((config, validated))
}

/// Rereads the file that `BALANCER_CONFIG` names while the process runs. The environment variables date from
/// the start of the process, so the address of the discovery service is taken from the file alone.
///
/// # Errors
/// As [`parse_replacement`].
pub fn reload(running: &Config) -> Result<(Config, ValidatedConfig, Vec<u8>), String> {
    let (path, text) = read_file()?;
    let variable = |name: &str| std::env::var(name).ok().filter(|_| name != "BALANCER_DISCOVERY");
    let (config, validated) =
        parse_replacement(&text, running, variable).map_err(|e| format!("{path}: {e}"))?;
    Ok((config, validated, text))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn running() -> (Value, Config) {
        let settings = linentrail_standins::proxy::settings();
        let json = linentrail_standins::proxy::config("127.0.0.1:9", &[], settings, 1024, 192);
        let config = parse(json.to_string().as_bytes(), |_| None).expect("valid");
        (json, config)
    }

    /// The paths of all values, objects and arrays outside the member list.
    fn paths(json: &Value, at: &str, found: &mut Vec<String>) {
        let below: Vec<(String, &Value)> = match json {
            Value::Object(fields) => fields.iter().map(|(n, v)| (format!("{at}/{n}"), v)).collect(),
            Value::Array(items) => items.iter().enumerate().map(|(n, v)| (format!("{at}/{n}"), v)).collect(),
            _ => Vec::new(),
        };
        for (path, value) in below.into_iter().filter(|(path, _)| !path.starts_with("/known")) {
            paths(value, &path, found);
            found.push(path);
        }
    }

    fn refused(json: &Value, running: &Config) -> bool {
        parse_replacement(json.to_string().as_bytes(), running, |_| None).is_err()
    }

    #[test]
    fn a_file_without_a_field_of_the_running_one_is_refused_and_a_complete_one_is_not() {
        let (json, running) = running();
        assert!(!refused(&json, &running));
        let mut all = Vec::new();
        paths(&json, "", &mut all);
        assert!(all.len() > 60, "{}", all.len());
        for path in &all {
            let (within, name) = path.rsplit_once('/').expect("a path");
            let mut less = json.clone();
            match less.pointer_mut(within).expect("it is there") {
                Value::Object(fields) => drop(fields.remove(name)),
                Value::Array(items) => drop(items.remove(name.parse::<usize>().expect("an index"))),
                _ => panic!("{path}"),
            }
            // One class or tenant fewer is an ordinary change unless other fields depend on it, as for all
            // classes here.
            let tenant = within == "/settings/tenants"
                && less.pointer(within).is_some_and(|t| t != &Value::Array(Vec::new()));
            assert_eq!(refused(&less, &running), !tenant, "without {path}");
        }
    }

    #[test]
    fn a_file_truncated_at_any_byte_is_refused() {
        let (json, running) = running();
        let text = json.to_string();
        for end in 0..text.len() {
            assert!(parse_replacement(&text.as_bytes()[..end], &running, |_| None).is_err(), "{end}");
        }
        let (config, _) = parse_replacement(text.as_bytes(), &running, |_| None).expect("complete");
        assert_eq!(config.all_fields, running.all_fields);
    }

    #[test]
    fn deadlines_and_attempts_that_are_not_positive_numbers_are_refused() {
        let (json, running) = running();
        let places =
            ["services/0/deadline_us", "services/3/deadline_us", "services/2/aim_us", "limits/max_attempts"];
        for place in places {
            for bad in [
                0.into(),
                (-1).into(),
                0.5.into(),
                "soon".into(),
                true.into(),
                Value::Null,
                Value::Array(Vec::new()),
            ] {
                let mut new = json.clone();
                *new.pointer_mut(&format!("/settings/{place}")).expect("it is there") = bad.clone();
                let fault =
                    parse_replacement(new.to_string().as_bytes(), &running, |_| None).expect_err(place);
                assert!(!fault.contains('\n'), "{fault}");
            }
        }
    }
}
