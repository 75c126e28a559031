//! Structured log on standard output, one JSON object per line.
//!
//! The logging thread formats a line and passes it to a writer thread through a
//! bounded queue. If the reader of standard output stalls and the queue fills up,
//! further lines are dropped and counted, so that no thread blocks. The rate of
//! lines is also limited per event. The number of omitted lines is logged at most
//! once a second.

use std::{
    collections::HashMap,
    fmt::Write as _,
    io::Write as _,
    sync::{
        Mutex, OnceLock, PoisonError,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, WrapErr};
use log::{
    Record,
    kv::{Key, Value, VisitSource},
};
use parsleylatch_runtime::Clock;
use parsleylatch_types::Millis;

/// Capacity of the writer thread's queue.
const QUEUE_LINES: usize = 4_096;
/// Length at which a value is cut off, as the queue is bounded by the number of lines.
const VALUE_CHARS: usize = 2_048;
/// Limit on lines per event and second; several times the request rate of one node
/// at the target size.
const KIND_LINES_PER_SECOND: u32 = 200;
/// Window over which lines are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Target size of a single write.
const WRITE_BATCH_BYTES: usize = 64 << 10;
/// Kind of lines whose event is not a string literal.
const OTHER_KIND: &str = "other";

enum WriterCommand {
    Line(String),
    Flush(SyncSender<()>),
}

struct EventLog {
    node_id: String,
    commands: SyncSender<WriterCommand>,
    limiter: Mutex<RateLimiter>,
}

static LOG: OnceLock<EventLog> = OnceLock::new();

/// Counts of the current window, by kind of line.
struct RateLimiter {
    started_at: Instant,
    written: HashMap<&'static str, u32>,
    omitted: HashMap<&'static str, u32>,
}

impl RateLimiter {
    /// Whether another line is within the limit, and the counts of lines omitted in the
    /// previous window if it has just ended.
    fn admit(&mut self, kind: &'static str) -> (bool, Option<HashMap<&'static str, u32>>) {
        let mut summary = None;
        if self.started_at.elapsed() >= RATE_WINDOW {
            self.started_at = Instant::now();
            self.written.clear();
            summary = Some(std::mem::take(&mut self.omitted)).filter(|it| !it.is_empty());
        }
        let written = self.written.entry(kind).or_default();
        let is_admitted = *written < KIND_LINES_PER_SECOND;
        if is_admitted {
            *written += 1;
        }
        (is_admitted, summary)
    }

    fn count_omitted(&mut self, kind: &'static str) {
        *self.omitted.entry(kind).or_default() += 1;
    }
}

/// Starts the log on standard output.
pub(crate) fn start_event_log(node_id: &str) -> Result<()> {
    let (commands, queue) = sync_channel(QUEUE_LINES);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&queue))
        .wrap_err("starting the log thread")?;
    let log = EventLog {
        node_id: node_id.to_owned(),
        commands,
        limiter: Mutex::new(RateLimiter {
            started_at: Instant::now(),
            written: HashMap::new(),
            omitted: HashMap::new(),
        }),
    };
    // If a log is already set, `apply` below fails.
    let _ = LOG.set(log);
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .level_for("hyper", log::LevelFilter::Warn)
        .chain(fern::Output::call(record))
        .apply()
        .wrap_err("another logger is already installed")
}

/// Waits up to `timeout` until queued lines have been written.
pub(crate) fn flush_log(timeout: Millis) {
    let Some(log) = LOG.get() else {
        return;
    };
    let (done, is_done) = sync_channel(1);
    if log.commands.try_send(WriterCommand::Flush(done)).is_ok() {
        // A stalled reader must not delay the exit of the process.
        let _ = is_done.recv_timeout(timeout.duration());
    }
}

fn record(record: &Record<'_>) {
    let Some(log) = LOG.get() else {
        return;
    };
    let kind = record.args().as_str().unwrap_or(OTHER_KIND);
    let mut limiter = log.limiter.lock().unwrap_or_else(PoisonError::into_inner);
    let (is_admitted, summary) = limiter.admit(kind);
    if let Some(summary) = summary {
        let line = summary_line(&log.node_id, &summary);
        if log.commands.try_send(WriterCommand::Line(line)).is_err() {
            limiter.omitted = summary;
        }
    }
    let is_queued = is_admitted
        && log
            .commands
            .try_send(WriterCommand::Line(line(&log.node_id, record)))
            .is_ok();
    if !is_queued {
        limiter.count_omitted(kind);
    }
}

fn line(node_id: &str, record: &Record<'_>) -> String {
    let mut line = Line::begin(node_id, record.level().as_str());
    line.text("event", &record.args().to_string());
    // Writing to a string can't fail.
    let _ = record.key_values().visit(&mut line);
    line.end()
}

fn summary_line(node_id: &str, omitted: &HashMap<&'static str, u32>) -> String {
    let mut line = Line::begin(node_id, "WARN");
    line.text("event", "log lines left out");
    for (kind, count) in omitted {
        line.plain(kind, count);
    }
    line.end()
}

/// JSON object that is being built.
struct Line(String);

impl Line {
    fn begin(node_id: &str, level: &str) -> Self {
        let mut line = Self(String::with_capacity(320));
        line.0.push('{');
        line.plain("time_ms", Clock::unix_now().get());
        line.text("level", level);
        line.text("node", node_id);
        line
    }

    fn end(mut self) -> String {
        self.0.push_str("}\n");
        self.0
    }

    fn key(&mut self, key: &str) {
        if self.0.len() > 1 {
            self.0.push(',');
        }
        self.quoted(key);
        self.0.push(':');
    }

    fn text(&mut self, key: &str, value: &str) {
        self.key(key);
        let cut_at = value.char_indices().nth(VALUE_CHARS);
        match cut_at {
            Some((end, _)) => self.quoted(&format!("{}...", &value[..end])),
            None => self.quoted(value),
        }
    }

    fn plain(&mut self, key: &str, value: impl std::fmt::Display) {
        self.key(key);
        let _ = write!(self.0, "{value}");
    }

    fn quoted(&mut self, text: &str) {
        self.0.push('"');
        for character in text.chars() {
            match character {
                '"' => self.0.push_str("\\\""),
                '\\' => self.0.push_str("\\\\"),
                control if control < ' ' => {
                    let _ = write!(self.0, "\\u{:04x}", u32::from(control));
                }
                other => self.0.push(other),
            }
        }
        self.0.push('"');
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        if let Some(number) = value.to_u64() {
            self.plain(key.as_str(), number);
        } else if let Some(flag) = value.to_bool() {
            self.plain(key.as_str(), flag);
        } else {
            self.text(key.as_str(), &value.to_string());
        }
        Ok(())
    }
}

fn write_lines(queue: &Receiver<WriterCommand>) {
    let stdout = std::io::stdout();
    let mut buffer = Vec::with_capacity(WRITE_BATCH_BYTES);
    while let Ok(first) = queue.recv() {
        buffer.clear();
        let mut flushed = Vec::new();
        let mut next = Some(first);
        while let Some(command) = next {
            match command {
                WriterCommand::Line(line) => buffer.extend_from_slice(line.as_bytes()),
                WriterCommand::Flush(done) => flushed.push(done),
            }
            next = match buffer.len() < WRITE_BATCH_BYTES {
                true => queue.try_recv().ok(),
                false => None,
            };
        }
        let mut out = stdout.lock();
        // Without a reader there is nowhere to report the error.
        let _ = out.write_all(&buffer).and_then(|()| out.flush());
        for done in flushed {
            let _ = done.try_send(());
        }
    }
}
