//! Structured lines on standard output: one JSON object a line.
//!
//! A line is formatted once by the thread that logs and handed to a writer
//! thread through a bounded queue. A reader that has stopped fills the queue;
//! from then lines are dropped and counted, and no thread waits. Lines of one
//! kind beyond a rate are left out as well. What was left out is told in a line
//! of its own, at most once a second.

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

/// Lines that may wait for the writer.
const QUEUE_LINES: usize = 4_096;
/// Lines of one kind in a second; several times the requests that one node of
/// the target size takes.
const KIND_LINES_PER_SECOND: u32 = 200;
/// Span over which lines are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Bytes that are written at once.
const WRITE_BATCH_BYTES: usize = 64 << 10;
/// Longest wait for the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Kind of lines whose text is made at run time.
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

/// Lines of the running span, by kind.
struct RateLimiter {
    started_at: Instant,
    written: HashMap<&'static str, u32>,
    omitted: HashMap<&'static str, u32>,
}

impl RateLimiter {
    /// Whether another line fits; with what the last span left out, if it is over.
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
    // A second start keeps the first log; `apply` below says so.
    let _ = LOG.set(log);
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .level_for("hyper", log::LevelFilter::Warn)
        .chain(fern::Output::call(record))
        .apply()
        .wrap_err("another logger is in place")
}

/// Waits a little until the lines that were logged are written.
pub(crate) fn flush_log() {
    let Some(log) = LOG.get() else {
        return;
    };
    let (done, is_done) = sync_channel(1);
    if log.commands.try_send(WriterCommand::Flush(done)).is_ok() {
        // A reader that has stopped must not hold the process up.
        let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
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
    // Writing to a string does not fail.
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

/// One JSON object while it is written.
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
        self.quoted(value);
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
        // Without a reader there is nowhere to say that the log is lost.
        let _ = out.write_all(&buffer).and_then(|()| out.flush());
        for done in flushed {
            let _ = done.try_send(());
        }
    }
}
