//! Checks whether a file can be used and collects all its faults, without starting anything.

use crate::{config, operators, Router};
use std::net::SocketAddr;
use std::path::Path;

/// The result of a check.
#[derive(Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// The file can be used; with a summary of its contents.
    Valid(String),
    /// The file cannot be used; one line for each fault.
    Faults(Vec<String>),
}

/// Checks a file according to its extension: `.json` is a configuration of the platform, `.hcl` the operators' file.
///
/// # Errors
/// If the file cannot be read or is neither.
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
    let config = match config::parse(text.as_bytes(), |_| None) {
        Ok(config) => config,
        Err(e) => return CheckResult::Faults(vec![e]),
    };
    let mut faults = Vec::new();
    for (name, address) in [("listen", &config.listen), ("discovery", &config.discovery)] {
        if address.parse::<SocketAddr>().is_err() {
            faults.push(format!("{name}: '{address}' is no address with a port"));
        }
    }
    if config.max_descriptors < 64 {
        faults.push(format!(
            "limits.sockets: {} leave no room for clients and members",
            config.max_descriptors
        ));
    }
    let (names, times) = (config.settings.names(), config.settings.socket_times());
    faults.extend(names.as_ref().err().cloned());
    faults.extend(times.as_ref().err().cloned());
    let settings = config.settings.settings(config.seed);
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
    let members = config.initial_list.get("instances").and_then(|i| i.as_array()).map_or(0, Vec::len);
    let limits = (config.max_descriptors, config.max_memory_bytes >> 20);
    result(
        faults,
        format!("{classes} classes, {members} members known, {} descriptors, {} MiB", limits.0, limits.1),
    )
}

fn operators(text: &str) -> CheckResult {
    match operators::read(text) {
        Err(faults) => CheckResult::Faults(faults.iter().map(ToString::to_string).collect()),
        Ok(file) => {
            let on_or_off = |on: bool| if on { "on" } else { "off" };
            let (odata, browse) = (on_or_off(file.odata.enabled), on_or_off(file.dnssd.browse));
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

fn result(faults: Vec<String>, summary: String) -> CheckResult {
    if faults.is_empty() {
        CheckResult::Valid(summary)
    } else {
        CheckResult::Faults(faults)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn valid_configuration() -> serde_json::Value {
        let settings = linentrail_standins::proxy::settings();
        linentrail_standins::proxy::config("127.0.0.1:9", &[], settings, 1024, 192)
    }

    #[test]
    fn a_valid_configuration_is_summarized() {
        let found = configuration(&valid_configuration().to_string());
        assert_eq!(
            found,
            CheckResult::Valid("4 classes, 0 members known, 1024 descriptors, 192 MiB".to_string())
        );
    }

    #[test]
    fn all_faults_are_reported_together_each_with_its_name() {
        let mut bad = valid_configuration();
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
    fn an_unreadable_text_is_one_fault_and_another_kind_of_file_is_an_error() {
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
