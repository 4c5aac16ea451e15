//! Log output as `key=value` pairs or JSON.

use std::{io::Write, time::SystemTime};

use log::{
    LevelFilter, Record,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::Map;

use super::{Error, Result, sink::Sink};
use crate::{
    state::settings::{Log, LogFormat},
    transport::mesh::REQUEST,
};

/// Starts logging to standard error.
///
/// # Errors
/// The level is unknown, or logging is already started.
pub fn setup(log: &Log) -> Result<()> {
    let level: LevelFilter = log.level.parse().map_err(|_| Error::Log)?;
    let format = log.format;
    let output = fern::Output::call(move |record| {
        let mut line = line(format, SystemTime::now(), record);
        line.push('\n');
        // A failed write to the log must not stop the node.
        let _ = std::io::stderr().lock().write_all(line.as_bytes());
    });
    let dispatch = fern::Dispatch::new().level(level).chain(output);
    dispatch.apply().map_err(|_| Error::Log)
}

/// Starts logging to standard output without blocking on it; close the returned sink at the end.
///
/// Lines of the target [`REQUEST`] are rate-limited.
///
/// # Errors
/// The level is unknown, or logging is already started.
pub fn setup_stdout(log: &Log) -> Result<Sink> {
    let level: LevelFilter = log.level.parse().map_err(|_| Error::Log)?;
    let format = log.format;
    let sink = Sink::new(std::io::stdout(), dropped_line);
    let writer = sink.clone();
    let output = fern::Output::call(move |record| {
        let line = || line(format, SystemTime::now(), record) + "\n";
        writer.try_write_with(line, record.target() != REQUEST);
    });
    let dispatch = fern::Dispatch::new().level(level).chain(output);
    dispatch.apply().map_err(|_| Error::Log)?;
    Ok(sink)
}

fn dropped_line(lines: u64) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    format!("time={time} level=warn target=log msg=\"log lines were dropped\" lines={lines}\n")
}

/// Formats a record as one log line, without the line feed.
///
/// ```
/// use comfreybay::{commands::log::line, state::settings::LogFormat};
/// use std::time::SystemTime;
/// let record = log::Record::builder()
///     .args(format_args!("node stopped"))
///     .level(log::Level::Info)
///     .target("node")
///     .build();
/// assert_eq!(
///     line(LogFormat::Text, SystemTime::UNIX_EPOCH, &record),
///     "time=1970-01-01T00:00:00.000Z level=info target=node msg=\"node stopped\""
/// );
/// ```
pub fn line(format: LogFormat, time: SystemTime, record: &Record<'_>) -> String {
    let mut fields = Fields::default();
    fields.push(
        "time",
        humantime::format_rfc3339_millis(time).to_string().into(),
    );
    fields.push("level", record.level().as_str().to_lowercase().into());
    fields.push("target", record.target().into());
    fields.push("msg", record.args().to_string().into());
    // Collecting the pairs does not fail.
    let _ = record.key_values().visit(&mut fields);
    match format {
        LogFormat::Text => fields.text(),
        LogFormat::Json => fields.json(),
    }
}

/// The fields of one line, in output order.
#[derive(Debug, Default)]
struct Fields(Vec<(String, serde_json::Value)>);

impl Fields {
    fn push(&mut self, key: &str, value: serde_json::Value) {
        self.0.push((key.to_owned(), value));
    }

    fn text(self) -> String {
        let pair = |(key, value): &(String, serde_json::Value)| match value {
            serde_json::Value::String(text) => format!("{key}={}", quoted(text)),
            other => format!("{key}={other}"),
        };
        let pairs: Vec<_> = self.0.iter().map(pair).collect();
        pairs.join(" ")
    }

    fn json(self) -> String {
        let map: Map<_, _> = self.0.into_iter().collect();
        serde_json::Value::Object(map).to_string()
    }
}

/// Quotes and escapes text that is empty or holds spaces, control characters, `"`, `=` or `\`.
fn quoted(text: &str) -> String {
    let is_plain =
        |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\');
    match !text.is_empty() && text.chars().all(is_plain) {
        true => text.to_owned(),
        false => serde_json::Value::from(text).to_string(),
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_i64(), value.to_bool()) {
            (Some(n), ..) => n.into(),
            (_, Some(n), _) => n.into(),
            (.., Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.push(key.as_str(), value);
        Ok(())
    }
}
