//! Whether a file can be used, and all that is wrong with it, without starting anything.

use crate::{config, operators, Router};
use std::net::SocketAddr;
use std::path::Path;

/// What a check has found.
#[derive(Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// It can be used; what it says, in short.
    Valid(String),
    /// It cannot; one line for each fault.
    Faults(Vec<String>),
}

/// Checks a file by its ending: `.json` is a configuration as the platform gives it, `.hcl` the operators' file.
///
/// # Errors
/// When the file cannot be read, or is neither.
pub fn file(path: &Path) -> Result<CheckResult, String> {
    let shown = path.display();
    let text = || std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"));
    match path.extension().and_then(|e| e.to_str()) {
        Some("json") => Ok(configuration(&text()?)),
        Some("hcl") => Ok(operators(&text()?)),
        Some("toml") => Err(operators::reject_legacy_file(None, true).err().unwrap_or_default()),
        _ => Err(format!("{shown}: neither a configuration (.json) nor an operators' file (.hcl)")),
    }
}

fn configuration(text: &str) -> CheckResult {
    let told = match config::parse(text.as_bytes(), |_| None) {
        Ok(told) => told,
        Err(e) => return CheckResult::Faults(vec![e]),
    };
    let mut faults = Vec::new();
    for (name, address) in [("listen", &told.listen), ("discovery", &told.discovery)] {
        if address.parse::<SocketAddr>().is_err() {
            faults.push(format!("{name}: '{address}' is no address with a port"));
        }
    }
    if told.sockets < 64 {
        faults.push(format!("limits.sockets: {} leave no room for clients and members", told.sockets));
    }
    let (names, times) = (told.settings.names(), told.settings.socket_times());
    faults.extend(names.as_ref().err().cloned());
    faults.extend(times.as_ref().err().cloned());
    let settings = told.settings.settings(told.seed);
    let classes = match settings {
        Ok(settings) => {
            let classes = settings.classes.len();
            faults.extend(Router::new(settings).err().map(|e| e.to_string()));
            classes
        }
        Err(e) => {
            faults.push(e);
            0
        }
    };
    if let Ok(names) = &names {
        faults.extend(names.duplicates());
    }
    let known = told.initial_list.get("instances").and_then(|i| i.as_array()).map_or(0, Vec::len);
    let limits = (told.sockets, told.memory >> 20);
    finding(
        faults,
        format!("{classes} classes, {known} members known, {} descriptors, {} MiB", limits.0, limits.1),
    )
}

fn operators(text: &str) -> CheckResult {
    match operators::read(text) {
        Err(faults) => CheckResult::Faults(faults.iter().map(ToString::to_string).collect()),
        Ok(file) => {
            let on = |on: bool| if on { "on" } else { "off" };
            let (odata, browse) = (on(file.odata.enabled), on(file.dnssd.browse));
            let store = match file.store.enabled {
                true => format!("on in {}", file.store.folder.display()),
                false => "off".to_string(),
            };
            let agreement = match file.agreement.enabled {
                true => {
                    let (times, voters) = (file.agreement.timing, file.agreement.voters.len());
                    let (bound, lapse) = (times.change_bound() / 1000, times.max_lease() / 1000);
                    format!("on, {voters} voters; a change takes at most {bound} ms, a cut-off proxy sends {lapse} ms more")
                }
                false => "off".to_string(),
            };
            CheckResult::Valid(format!(
                "OData {odata} at {}, browsing {browse}, store {store}, agreement {agreement}",
                file.odata.listen
            ))
        }
    }
}

fn finding(faults: Vec<String>, sound: String) -> CheckResult {
    if faults.is_empty() {
        CheckResult::Valid(sound)
    } else {
        CheckResult::Faults(faults)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sound() -> serde_json::Value {
        let settings = linentrail_standins::proxy::settings();
        linentrail_standins::proxy::config("127.0.0.1:9", &[], settings, 1024, 192)
    }

    #[test]
    fn a_sound_configuration_is_told_in_short() {
        let found = configuration(&sound().to_string());
        assert_eq!(
            found,
            CheckResult::Valid("4 classes, 0 members known, 1024 descriptors, 192 MiB".to_string())
        );
    }

    #[test]
    fn all_faults_are_told_at_once_each_by_its_name() {
        let mut bad = sound();
        bad["listen"] = "nowhere".into();
        bad["limits"]["sockets"] = 8.into();
        bad["settings"]["services"][1]["aim_us"] = "soon".into();
        bad["settings"]["services"][0]["name"] = "my-booking".into();
        let CheckResult::Faults(faults) = configuration(&bad.to_string()) else { panic!("it is not sound") };
        for word in ["nowhere", "limits.sockets", "services.1.aim_us", "my-booking"] {
            assert!(faults.iter().any(|f| f.contains(word)), "{word}: {faults:?}");
        }
        assert_eq!(faults.len(), 4, "{faults:?}");
    }

    #[test]
    fn what_cannot_be_read_is_one_fault_and_what_is_no_such_file_is_none() {
        assert!(matches!(configuration("{"), CheckResult::Faults(f) if f.len() == 1));
        assert!(
            matches!(operators("odata {\nlisten = 7\n}"), CheckResult::Faults(f) if f[0].contains("listen"))
        );
        assert!(matches!(operators(""), CheckResult::Valid(_)));
        assert!(file(Path::new("notes.txt")).is_err());
        assert!(file(Path::new("deploy/fronts.toml")).expect_err("moved").contains("linentrail.hcl"));
        assert!(file(Path::new("no-such-file.json")).is_err());
    }
}
