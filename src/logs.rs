//! The log, as text or as JSON. In both formats a line's structured fields follow its message, so that all lines about
//! one request can be found by its id.

use crate::cli::LogFormat;
use env_logger::{Builder, Env};
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};
use std::io::Write;

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = value.to_u64().map(Json::from).or_else(|| value.to_bool().map(Json::from));
        self.0.insert(key.to_string(), json.unwrap_or_else(|| Json::from(value.to_string())));
        Ok(())
    }
}

/// Formats a log line as one JSON object: `time` (RFC 3339, UTC), `level`, `target`, `message` and the line's
/// structured fields. A structured field with one of these four names is omitted.
pub fn json(record: &log::Record, time: &str) -> String {
    let mut fields = Fields(Map::new());
    // If a field cannot be read, the line is written without it.
    let _ = record.key_values().visit(&mut fields);
    for (name, value) in [
        ("time", Json::from(time)),
        ("level", Json::from(record.level().as_str())),
        ("target", Json::from(record.target())),
        ("message", Json::from(record.args().to_string())),
    ] {
        fields.0.insert(name.to_string(), value);
    }
    Json::Object(fields.0).to_string()
}

/// Starts the log on standard error.
pub fn start(format: LogFormat) {
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    if format == LogFormat::Json {
        builder.format(|out, record| {
            let time = out.timestamp_micros().to_string();
            writeln!(out, "{}", json(record, &time))
        });
    }
    builder.init();
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_contains_its_fields_and_none_replaces_a_standard_field() {
        let pairs: &[(&str, Value)] = &[
            ("id", Value::from(7u64)),
            ("class", Value::from("yard \"board\"")),
            ("level", Value::from("x")),
        ];
        let record = log::Record::builder()
            .args(format_args!("taken\nin"))
            .level(log::Level::Debug)
            .target(crate::core::REQUEST_LOG_TARGET)
            .key_values(&pairs)
            .build();
        let line = json(&record, "2026-12-01T16:30:00.000250Z");
        assert!(!line.contains('\n'));
        let read: Json = serde_json::from_str(&line).expect("it is JSON");
        assert_eq!(read["id"], 7);
        assert_eq!(read["class"], "yard \"board\"");
        assert_eq!(read["level"], "DEBUG");
        assert_eq!(read["message"], "taken\nin");
        assert_eq!(read["time"], "2026-12-01T16:30:00.000250Z");
    }
}
