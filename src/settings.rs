//! Parses the operators' settings into [`Settings`]. The adapter reads them from its text protocol, the proxy from
//! JSON; both are converted to flat `path = value` pairs first. Unknown names are ignored, so that newer settings can
//! be read; a bad or missing value is reported with one message.

use crate::interface::*;
use std::collections::HashMap;
use std::str::FromStr;

/// Flat settings, such as `services.0.aim_us` = `200000`. A list of plain values is joined by commas.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct FlatSettings(HashMap<String, String>);

/// Names used by the wire protocols for what the router knows by index.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Names {
    /// Classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

impl Names {
    /// Reports duplicate names among the classes and among the tenants.
    pub fn duplicates(&self) -> impl Iterator<Item = String> + '_ {
        [("class", &self.classes), ("tenant", &self.tenants)].into_iter().filter_map(|(what, list)| {
            let twice = list.iter().enumerate().find(|(n, name)| list[..*n].contains(name));
            twice.map(|(_, name)| format!("two of {what} are named '{name}'"))
        })
    }
}

/// Settings for sockets, which the router does not use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketTimes {
    /// The members' machines close idle connections after this time, in us.
    pub keepalive: Time,
    /// Time limit for establishing a connection, in us.
    pub connect_timeout: Time,
}

impl FromIterator<(String, String)> for FlatSettings {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(pairs: I) -> Self {
        FlatSettings(pairs.into_iter().collect())
    }
}

impl FlatSettings {
    /// Flattens nested JSON.
    pub fn from_json(json: &serde_json::Value) -> Self {
        let mut pairs = FlatSettings::default();
        pairs.flatten(String::new(), json);
        pairs
    }

    fn flatten(&mut self, path: String, json: &serde_json::Value) {
        use serde_json::Value::{Array, Null, Object};
        let child_path =
            |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        match json {
            Object(fields) => fields.iter().for_each(|(name, value)| self.flatten(child_path(name), value)),
            Array(items) if items.iter().any(|i| i.is_object() || i.is_array()) => {
                self.0.insert(child_path("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(i, item)| self.flatten(child_path(&i.to_string()), item));
            }
            Array(items) => {
                let plain: Vec<String> = items.iter().map(to_text).collect();
                self.0.insert(path, plain.join(","));
            }
            Null => {}
            value => {
                self.0.insert(path, to_text(value));
            }
        }
    }

    /// Keys that `running` has and these settings lack. For lists of services and tenants, a field that every entry
    /// of the running list has is required in every entry of the new list.
    pub fn missing_keys(&self, running: &FlatSettings) -> Vec<String> {
        let within = |name: &str, list: &str| name.contains(&format!("{list}."));
        let listed = |name: &str| within(name, "services") || within(name, "tenants");
        let mut missing: Vec<String> =
            running.0.keys().filter(|n| !listed(n) && !self.0.contains_key(*n)).cloned().collect();
        for list in ["settings.services", "settings.tenants"] {
            let count = |p: &FlatSettings| {
                p.0.get(&format!("{list}.count")).and_then(|n| n.parse().ok()).unwrap_or(0)
            };
            let first = format!("{list}.0.");
            let fields = running.0.keys().filter_map(|n| n.strip_prefix(&first));
            let all = |field: &&str| {
                (0..count(running)).all(|i| running.0.contains_key(&format!("{list}.{i}.{field}")))
            };
            for field in fields.filter(all) {
                let names = (0..count(self)).map(|i: usize| format!("{list}.{i}.{field}"));
                missing.extend(names.filter(|n| !self.0.contains_key(n)));
            }
            if count(running) > 0 && count(self) == 0 {
                missing.push(list.to_string());
            }
        }
        missing.sort();
        missing
    }

    fn bad_value(name: &str, value: &str) -> String {
        format!("settings: {name} has the bad value '{value}'")
    }

    fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, String> {
        match self.0.get(name) {
            None => Ok(None),
            Some(v) => v.parse().map(Some).map_err(|_| Self::bad_value(name, v)),
        }
    }

    fn required<T: FromStr>(&self, name: &str) -> Result<T, String> {
        self.optional(name)?.ok_or_else(|| format!("settings: {name} is missing"))
    }

    fn number(&self, name: &str) -> Result<f64, String> {
        let v: f64 = self.required(name)?;
        (v.is_finite() && v >= 0.0).then_some(v).ok_or_else(|| Self::bad_value(name, &v.to_string()))
    }

    fn choice<T: Copy>(&self, name: &str, choices: &[(&str, T)]) -> Result<T, String> {
        let v: String = self.required(name)?;
        choices.iter().find(|(w, _)| *w == v).map(|(_, t)| *t).ok_or_else(|| Self::bad_value(name, &v))
    }

    fn flag(&self, name: &str) -> Result<bool, String> {
        match self.0.get(name).map(String::as_str) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(v) => Err(Self::bad_value(name, v)),
        }
    }

    fn list(&self, name: &str) -> Vec<String> {
        let text = self.0.get(name).filter(|v| !v.is_empty());
        text.map_or_else(Vec::new, |v| v.split(',').map(str::to_string).collect())
    }

    fn names_under(&self, list: &str) -> Result<Vec<String>, String> {
        let count: usize = self.optional(&format!("{list}.count"))?.unwrap_or(0);
        (0..count).map(|i| self.required(&format!("{list}.{i}.name"))).collect()
    }

    /// Names of classes, tenants and zones.
    ///
    /// # Errors
    /// If a class or tenant has no name.
    pub fn names(&self) -> Result<Names, String> {
        let (classes, tenants) = (self.names_under("services")?, self.names_under("tenants")?);
        Ok(Names { classes, tenants, zones: self.list("zones") })
    }

    /// Times for sockets.
    ///
    /// # Errors
    /// If one of them is malformed.
    pub fn socket_times(&self) -> Result<SocketTimes, String> {
        Ok(SocketTimes {
            keepalive: self.optional("limits.keepalive_us")?.unwrap_or(30_000_000),
            connect_timeout: self.optional("limits.connect_timeout_us")?.unwrap_or(250_000),
        })
    }

    fn class(&self, i: usize, consistency: &str, age: Time) -> Result<Class, String> {
        let f = |name: &str| format!("services.{i}.{name}");
        let consistency = match consistency {
            "write" => Consistency::Write,
            "fresh" => Consistency::Fresh,
            "session" => Consistency::Session,
            "bounded" => Consistency::Bounded(age),
            "any" => Consistency::Any,
            other => return Err(Self::bad_value("family_info.needs_by_class", other)),
        };
        let kind: String = self.required(&f("idempotency"))?;
        let effect = match kind.as_str() {
            "read_like" => Effect::Safe,
            "non_idempotent" => Effect::Unsafe,
            "idempotency_key" => Effect::Keyed {
                group: self.choice(
                    &f("group"),
                    &[("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Group)],
                )?,
                window: self.required(&f("window_us"))?,
            },
            other => return Err(Self::bad_value(&f("idempotency"), other)),
        };
        Ok(Class {
            consistency,
            effect,
            aim: self.required(&f("aim_us"))?,
            deadline: self.required(&f("deadline_us"))?,
            importance: self
                .optional::<f64>(&f("importance"))?
                .filter(|w| w.is_finite() && *w > 0.0)
                .unwrap_or(1.0),
            late_value: self.number(&f("late_value"))?,
        })
    }

    /// The settings of one router, with this seed for its random numbers.
    ///
    /// # Errors
    /// A message about the first value that is missing or malformed.
    pub fn settings(&self, seed: u64) -> Result<Settings, String> {
        let count: usize = self.required("services.count")?;
        let (needs, ages) = (self.list("family_info.needs_by_class"), self.list("family_info.max_age_us"));
        if needs.len() != count || !ages.is_empty() && ages.len() != count {
            return Err(format!(
                "settings: there are {count} classes, {} needs and {} ages",
                needs.len(),
                ages.len()
            ));
        }
        let mut classes = Vec::new();
        for i in 0..count {
            let age = ages.get(i).map_or("0", String::as_str);
            let age = age.parse().map_err(|_| Self::bad_value("family_info.max_age_us", age))?;
            classes.push(self.class(i, needs.get(i).map_or("", String::as_str), age)?);
        }
        let behind: String = self.required("family_info.when_behind")?;
        let when_behind = match behind.as_str() {
            "off" => WhenBehind::Answers,
            "refuse" => WhenBehind::Refuses,
            "wait" => WhenBehind::Waits(self.required("family_info.catch_up_wait_us")?),
            other => return Err(Self::bad_value("family_info.when_behind", other)),
        };
        Ok(Settings {
            seed,
            instances: self.required("instances")?,
            zone: self.required("my_zone")?,
            marks_retries: self.flag("client_habits.marks_retry")?,
            classes,
            period: self.required("period_us")?,
            subscribe: self.choice("discovery", &[("automatic", false), ("subscribe", true)])?,
            list_role: self.choice(
                "family_info.list_role",
                &[("late", ListedRole::Delayed), ("start", ListedRole::AtStart), ("off", ListedRole::Absent)],
            )?,
            when_behind,
            session_marks: self.choice(
                "family_info.session_marks",
                &[("carried", SessionTokenSource::Carried), ("remembered", SessionTokenSource::Remembered)],
            )?,
            cancelling: self.flag("limits.cancelling")?,
            probing: self.flag("limits.probing")?,
            retry_after: self.flag("limits.retry_after")?,
            max_retry_after: self.optional("limits.max_retry_after_us")?.unwrap_or(0),
            max_attempts: self.required("limits.max_attempts")?,
            rules: Rules {
                cold_share: self.number("rules.cold_share")?,
                warm_after: self.required("rules.warm_after_us")?,
                fall_multiple: self.fall_multiple()?,
                fall_window: self.required("rules.fall_us")?,
                drain_grace: self.optional("rules.drain_grace_us")?.unwrap_or(0),
                removal_not_binding: self.flag("rules.removal_not_binding")?,
            },
        })
    }

    /// If not set, a member in slow start is sent no more than its current capacity.
    fn fall_multiple(&self) -> Result<f64, String> {
        let multiple = self.optional("rules.fall_multiple")?.unwrap_or(1.0);
        (f64::is_finite(multiple) && multiple > 0.0)
            .then_some(multiple)
            .ok_or_else(|| Self::bad_value("rules.fall_multiple", &multiple.to_string()))
    }

    /// The origin of the positions in the adapter's protocol.
    ///
    /// # Errors
    /// If it is missing or malformed.
    pub fn position_origin(&self) -> Result<Time, String> {
        self.required("family_info.counted_from_us")
    }

    /// Seed for the adapter's random numbers.
    ///
    /// # Errors
    /// If it is missing or malformed.
    pub fn entropy(&self) -> Result<u64, String> {
        self.required("entropy")
    }
}

fn to_text(value: &serde_json::Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}
