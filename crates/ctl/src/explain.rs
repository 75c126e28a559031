//! Explains the outcome of a request from the logs of several nodes.
//!
//! Log lines are JSON objects; any prefix that a log collector adds is skipped. The
//! lines of the request are sorted by time, and the last one that affected its
//! outcome is marked as the deciding line.

use std::io::BufRead;

use eyre::{Result, WrapErr, bail};
use serde_json::{Map, Value};

/// Events that can decide the outcome of a request or of one of its attempts.
const DECIDING_EVENTS: [&str; 8] = [
    "request denied",
    "request refused",
    "stream aborted",
    "response aborted",
    "attempt failed",
    "prompt part in quarantine",
    "retry budget used up",
    "request ended",
];
/// Fields that are not repeated after the heading of a line.
const HEADING_FIELDS: [&str; 5] = ["time_ms", "level", "node", "event", "id"];

/// Event of a request that is sent beyond the failure domain of its node.
const DEPARTURE_EVENT: &str = "request leaves the failure domain";
/// Parts per million in a percent.
const PPM_PER_PERCENT: f64 = 10_000.0;

/// A parsed log line.
#[derive(Clone, Debug)]
struct Entry {
    time_ms: u64,
    node: String,
    event: String,
    fields: Map<String, Value>,
}

/// Log lines of a request, sorted by time, with the deciding line.
#[derive(Clone, Debug)]
pub struct Explanation {
    entries: Vec<Entry>,
    deciding: Option<usize>,
}

impl Explanation {
    /// Collects the log lines of a request.
    ///
    /// # Errors
    /// Reading the log failed, or it has no line with the id.
    pub fn read<Log>(log: Log, id: &str) -> Result<Self>
    where
        Log: BufRead,
    {
        let mut entries = Vec::new();
        for line in log.lines() {
            let line = line.wrap_err("failed to read the log")?;
            entries.extend(parse(&line).filter(|entry| matches_id(entry, id)));
        }
        if entries.is_empty() {
            bail!("the log has no line with request id {id}");
        }
        entries.sort_by_key(|entry| entry.time_ms);
        let deciding = entries
            .iter()
            .rposition(is_deciding)
            .or_else(|| entries.iter().rposition(is_request_end));
        Ok(Self { entries, deciding })
    }

    /// Formats the explanation for display.
    pub fn text(&self) -> String {
        let start_ms = self.entries.first().map_or(0, |entry| entry.time_ms);
        let mut text = String::new();
        for (index, entry) in self.entries.iter().enumerate() {
            let marker = if self.deciding == Some(index) {
                '>'
            } else {
                ' '
            };
            let after_ms = entry.time_ms - start_ms;
            let (node, event) = (&entry.node, &entry.event);
            text.push_str(&format!("{marker} +{after_ms} ms {node}: {event}"));
            let shown = entry.fields.iter();
            for (name, value) in shown.filter(|(name, _)| !HEADING_FIELDS.contains(&name.as_str()))
            {
                text.push_str(&format!(" {name}={value}"));
            }
            text.push('\n');
        }
        for departure in self.departures() {
            text.push_str(&departure);
            text.push('\n');
        }
        text
    }

    /// Why the request was sent beyond the failure domain of its node, once for each time, with
    /// the share of requests in force.
    pub fn departures(&self) -> Vec<String> {
        let departures = self.entries.iter();
        departures
            .filter(|entry| entry.event == DEPARTURE_EVENT)
            .map(departure)
            .collect()
    }

    /// Returns the event of the deciding line.
    pub fn deciding_event(&self) -> Option<&str> {
        let entry = &self.entries[self.deciding?];
        Some(&entry.event)
    }
}

fn parse(line: &str) -> Option<Entry> {
    let json = &line[line.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let text = |name: &str| fields.get(name)?.as_str().map(str::to_owned);
    Some(Entry {
        time_ms: fields.get("time_ms")?.as_u64()?,
        node: text("node")?,
        event: text("event")?,
        fields,
    })
}

fn departure(entry: &Entry) -> String {
    let text = |name: &str| entry.fields.get(name).and_then(Value::as_str);
    let share = entry.fields.get("share_ppm").and_then(Value::as_u64);
    let share = share.unwrap_or_default();
    let border = match text("border") {
        Some("region") => "region",
        _ => "failure domain",
    };
    let why = match text("cause") {
        Some("prompt") => "its prompt or a copy of it was there",
        Some("repeated") => "it was sent again",
        Some("queued") => "it waited for an engine with room",
        _ if share == 0 => "no endpoint nearer would have served it in time",
        _ => text("reason").unwrap_or("-"),
    };
    let (node, state) = (&entry.node, text("state").unwrap_or("-"));
    let percent = share as f64 / PPM_PER_PERCENT;
    format!("{node} sent it beyond its {border}: {why}; share in force {percent}% ({state})")
}

fn matches_id(entry: &Entry, id: &str) -> bool {
    entry.fields.get("id").and_then(Value::as_str) == Some(id)
}

fn is_request_end(entry: &Entry) -> bool {
    entry.event == "request ended"
}

/// `request ended` only repeats the result of an attempt or a refusal, so it counts as
/// the deciding line only if there is no other.
fn is_deciding(entry: &Entry) -> bool {
    DECIDING_EVENTS.contains(&entry.event.as_str()) && !is_request_end(entry)
}
