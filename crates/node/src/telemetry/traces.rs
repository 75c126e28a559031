//! Distributed traces: a span for each hop, propagated in W3C `traceparent` headers.

use std::{
    fs::{File, OpenOptions},
    io::{BufWriter, Write as _},
};

use eyre::{Result, WrapErr};
use fastrace::{
    Span,
    collector::{Config, Reporter, SpanContext, SpanRecord},
};
use parsleylatch_settings::NodeSettings;
use serde_json::json;

/// Appends spans to a file as JSON lines.
struct FileReporter {
    node_id: String,
    file: BufWriter<File>,
}

impl Reporter for FileReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in spans {
            let line = json!({
                "node": self.node_id,
                "trace": format!("{:032x}", span.trace_id.0),
                "span": format!("{:016x}", span.span_id.0),
                "parent": format!("{:016x}", span.parent_id.0),
                "name": span.name,
                "begin_unix_ns": span.begin_time_unix_ns,
                "duration_ns": span.duration_ns,
                "properties": span.properties,
            });
            // A write error, such as a full disk, must not affect the node.
            let _ = writeln!(self.file, "{line}");
        }
        let _ = self.file.flush();
    }
}

/// Starts writing spans to the trace file, if the settings name one.
pub(crate) fn start_traces(settings: &NodeSettings) -> Result<()> {
    if let Some(path) = &settings.trace_file {
        let opened = OpenOptions::new().create(true).append(true).open(path);
        let file = opened.wrap_err_with(|| format!("opening {}", path.display()))?;
        let node_id = settings.node_id.to_string();
        let reporter = FileReporter {
            node_id,
            file: BufWriter::new(file),
        };
        fastrace::set_reporter(reporter, Config::default());
    }
    Ok(())
}

/// Starts the span of a caller's request, as a child of the caller's span if the
/// request carries one.
pub(crate) fn root_span(name: &'static str, traceparent: Option<&str>) -> Span {
    let parent = traceparent.and_then(SpanContext::decode_w3c_traceparent);
    Span::root(name, parent.unwrap_or_else(SpanContext::random))
}

/// Starts the span of an outgoing request.
pub(crate) fn child_span(name: &'static str, parent: &Span) -> Span {
    Span::enter_with_parent(name, parent)
}

/// Encodes a span as the `traceparent` header of an outgoing request.
pub(crate) fn encode_traceparent(span: &Span) -> String {
    SpanContext::from_span(span)
        .map(|context| context.encode_w3c_traceparent())
        .unwrap_or_default()
}

/// Writes the buffered spans.
pub(crate) fn flush() {
    fastrace::flush();
}
