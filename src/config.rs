//! What the platform tells a proxy: the file that `BALANCER_CONFIG` names, and the variables beside it.

use crate::interface::Settings;
use crate::settings::{FlatSettings, Names, SocketTimes};
use serde::Deserialize;
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
    pub initial_list: Value,
    /// The settings, flat.
    pub settings: FlatSettings,
    /// Everything but the list, flat.
    pub all_fields: FlatSettings,
}

/// Missing names that are told one by one.
const MISSING_KEYS_SHOWN: usize = 5;

/// The settings of a configuration, checked whole and ready to hold.
#[derive(Debug, Clone)]
pub struct ValidatedConfig {
    /// Names of classes and tenants, in the settings' order.
    pub names: Names,
    /// For the module.
    pub settings: Settings,
    /// For the members' side.
    pub times: SocketTimes,
}

impl Config {
    /// The settings, checked whole.
    ///
    /// # Errors
    /// With all that is wrong with them.
    pub fn validate(&self) -> Result<ValidatedConfig, String> {
        let names = self.settings.names()?;
        let settings = self.settings.settings(self.seed)?;
        settings.check().map_err(|e| e.to_string())?;
        if let Some(fault) = names.duplicates().next() {
            return Err(format!("settings: {fault}"));
        }
        Ok(ValidatedConfig { names, settings, times: self.settings.socket_times()? })
    }

    /// What a new configuration changes that only a new start can take up.
    pub fn changes_requiring_restart(&self, new: &Config) -> Vec<&'static str> {
        let mut fixed = Vec::new();
        for (what, differs) in [
            ("listen", self.listen != new.listen),
            ("console", self.console != new.console),
            ("limits.sockets", self.sockets != new.sockets),
            ("limits.memory_mb", self.memory != new.memory),
        ] {
            if differs {
                fixed.push(what);
            }
        }
        fixed
    }
}

/// Reads a configuration that is to take the place of the running one: whole, or not at all.
///
/// # Errors
/// With one plain message on all that is wrong with it.
pub fn parse_replacement(
    text: &[u8],
    running: &Config,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<(Config, ValidatedConfig), String> {
    let new = parse(text, variable)?;
    let lacks = new.all_fields.missing_keys(&running.all_fields);
    if !lacks.is_empty() {
        let (first, more) = (
            lacks[..lacks.len().min(MISSING_KEYS_SHOWN)].join(", "),
            lacks.len().saturating_sub(MISSING_KEYS_SHOWN),
        );
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        return Err(format!("missing, though the running configuration has them: {first}{more}"));
    }
    let mut sound = new.validate()?;
    if running.settings.names().is_ok_and(|names| names.zones != sound.names.zones) {
        return Err("settings: zones cannot change while the process runs".to_string());
    }
    // The running process goes on with its own random numbers.
    sound.settings.seed = running.seed;
    Ok((new, sound))
}

/// Reads a configuration; a variable that `variable` knows wins over the file.
///
/// # Errors
/// With one plain message on what is missing or malformed, as in a file that is only half written.
pub fn parse(text: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let mut json: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let initial_list = json.as_object_mut().and_then(|fields| fields.remove("known")).unwrap_or_default();
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
        initial_list,
        settings: FlatSettings::from_json(json.get("settings").unwrap_or(&Value::Null)),
        all_fields: FlatSettings::from_json(&json),
    })
}

/// The bytes of the file that `BALANCER_CONFIG` names, and where it lies.
///
/// # Errors
/// With one plain message.
pub fn read_file() -> Result<(String, Vec<u8>), String> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG is not set".to_string())?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    Ok((path, text))
}

/// What this variable says, or else this field of the file that `BALANCER_CONFIG` names: also where the file cannot be
/// used as a configuration.
///
/// # Errors
/// When neither says anything, with one plain message.
pub fn lookup(variable: &str, field: &str) -> Result<String, String> {
    if let Some(told) = std::env::var(variable).ok().filter(|told| !told.is_empty()) {
        return Ok(told);
    }
    let (path, text) = read_file()?;
    let json: Option<Value> = serde_json::from_slice(&text).ok();
    let told = json.as_ref().and_then(|j| j.get(field)?.as_str()).filter(|told| !told.is_empty());
    told.map(str::to_string).ok_or_else(|| format!("{path}: it tells no {field}, nor does {variable}"))
}

/// Where clients connect, before anything else of the file is looked at: a start listens there first.
///
/// # Errors
/// When neither `BALANCER_LISTEN` nor the file says it, with one plain message.
pub fn listen_address() -> Result<String, String> {
    #[derive(Deserialize)]
    struct Place {
        listen: String,
    }
    if let Some(told) = std::env::var("BALANCER_LISTEN").ok().filter(|told| !told.is_empty()) {
        return Ok(told);
    }
    let (path, text) = read_file()?;
    let place: Place = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
    Ok(place.listen)
}

/// Reads the file that `BALANCER_CONFIG` names, and checks it whole.
///
/// # Errors
/// With one plain message.
pub fn load() -> Result<(Config, ValidatedConfig, Vec<u8>), String> {
    let (path, text) = read_file()?;
    let (told, sound) = parse_and_validate(&text).map_err(|e| format!("{path}: {e}"))?;
    Ok((told, sound, text))
}

/// Reads a configuration as it is read at a start, and checks it whole.
///
/// # Errors
/// With one plain message.
pub fn parse_and_validate(text: &[u8]) -> Result<(Config, ValidatedConfig), String> {
    let told = parse(text, |name| std::env::var(name).ok())?;
    let sound = told.validate()?;
    Ok((told, sound))
}

/// Reads that file again while the program runs. Its environment is then as old as its start, so that only the file can
/// tell where discovery is now.
///
/// # Errors
/// As [`parse_replacement`].
pub fn reload(running: &Config) -> Result<(Config, ValidatedConfig, Vec<u8>), String> {
    let (path, text) = read_file()?;
    let variable = |name: &str| std::env::var(name).ok().filter(|_| name != "BALANCER_DISCOVERY");
    let (told, sound) = parse_replacement(&text, running, variable).map_err(|e| format!("{path}: {e}"))?;
    Ok((told, sound, text))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn running() -> (Value, Config) {
        let settings = linentrail_standins::proxy::settings();
        let json = linentrail_standins::proxy::config("127.0.0.1:9", &[], settings, 1024, 192);
        let config = parse(json.to_string().as_bytes(), |_| None).expect("it is sound");
        (json, config)
    }

    /// All paths to plain values and to objects and arrays, but for the list's.
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
    fn a_file_that_lacks_anything_that_runs_is_refused_and_a_whole_one_is_not() {
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
            // One class or tenant fewer is a change like another, were it not for what belongs to it.
            let tenant = within == "/settings/tenants"
                && less.pointer(within).is_some_and(|t| t != &Value::Array(Vec::new()));
            assert_eq!(refused(&less, &running), !tenant, "without {path}");
        }
    }

    #[test]
    fn a_file_that_is_cut_off_anywhere_is_refused() {
        let (json, running) = running();
        let text = json.to_string();
        for end in 0..text.len() {
            assert!(parse_replacement(&text.as_bytes()[..end], &running, |_| None).is_err(), "{end}");
        }
        let (told, _) = parse_replacement(text.as_bytes(), &running, |_| None).expect("it is whole");
        assert_eq!(told.all_fields, running.all_fields);
    }

    #[test]
    fn deadlines_and_attempts_that_are_no_numbers_above_0_are_refused_by_their_place() {
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
