//! Parsing of server-sent events: chunk boundaries must not change the result, and
//! malformed input must be rejected.

use std::time::{Duration, Instant};

use parsleylatch_http::{EventFramer, SseEvent, SseReader, encode_event};
use test_case::test_case;

fn event(id: &str, name: &str, data: &str) -> SseEvent {
    SseEvent {
        id: id.to_owned(),
        event: name.to_owned(),
        data: data.to_owned(),
    }
}

#[test_case(1 ; "byte by byte")]
#[test_case(7 ; "small chunks")]
#[test_case(4096 ; "one chunk")]
fn next_event_chunks(size: usize) {
    let expected = [
        event("0.n1", "token", "{\"a\":1}"),
        event("", "", "two\nlines"),
    ];
    let bytes: Vec<u8> = expected
        .iter()
        .flat_map(|it| encode_event(&it.id, &it.event, &it.data))
        .collect();
    let mut reader = SseReader::new();
    let mut events = Vec::new();
    for chunk in bytes.chunks(size) {
        reader.push(chunk);
        while let Some(event) = reader.next_event().unwrap() {
            events.push(event);
        }
    }
    assert_eq!(events, expected);
}

#[test_case("garbage\n\n" ; "missing field")]
#[test_case("grabage: 1\n\n" ; "unknown field")]
fn next_event_malformed(text: &str) {
    let mut reader = SseReader::new();
    reader.push(text.as_bytes());
    assert!(reader.next_event().is_err());
}

/// Length of a long event, near the limit.
const LONG_EVENT_BYTES: usize = 1_000_000;
/// Bound on reading it byte by byte. Searching all of it again after each byte takes hours.
const LONG_EVENT_LIMIT: Duration = Duration::from_secs(20);

fn long_event() -> Vec<u8> {
    let line = "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n";
    let mut bytes = line.repeat(LONG_EVENT_BYTES / line.len()).into_bytes();
    bytes.push(b'\n');
    bytes
}

#[test]
fn framer_long_event_byte_by_byte() {
    let bytes = long_event();
    let started_at = Instant::now();
    let mut framer = EventFramer::new();
    let mut events = Vec::new();
    for byte in &bytes {
        framer.push(&[*byte]);
        events.extend(framer.next_event());
        assert!(started_at.elapsed() < LONG_EVENT_LIMIT);
    }
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].bytes, bytes);
    assert!(events[0].has_field);
}

#[test]
fn reader_long_event_byte_by_byte() {
    let bytes = long_event();
    let started_at = Instant::now();
    let mut reader = SseReader::new();
    let mut events = Vec::new();
    for byte in &bytes {
        reader.push(&[*byte]);
        events.extend(reader.next_event().unwrap());
        assert!(started_at.elapsed() < LONG_EVENT_LIMIT);
    }
    assert_eq!(events.len(), 1);
}

/// The bytes and their division into events don't depend on the chunks.
#[test_case(1 ; "byte by byte")]
#[test_case(3 ; "small chunks")]
#[test_case(4096 ; "one chunk")]
fn framer_chunks(size: usize) {
    let expected = [
        ("id: 1\ndata: a\n\n", Some(1), true),
        (": note\n\n", None, false),
        ("id: 2\r\ndata: b\r\n\r\n", Some(2), true),
        ("\ndata: c\n\n", None, true),
    ];
    let text: String = expected.iter().map(|(text, ..)| *text).collect();
    let mut framer = EventFramer::new();
    let mut events = Vec::new();
    for chunk in text.as_bytes().chunks(size) {
        framer.push(chunk);
        while let Some(event) = framer.next_event() {
            events.push(event);
        }
    }
    let found: Vec<_> = events
        .iter()
        .map(|it| (std::str::from_utf8(&it.bytes).unwrap(), it.id, it.has_field))
        .collect();
    assert_eq!(found, expected);
    assert_eq!(framer.incomplete_bytes(), 0);
}

#[test_case("\n" ; "blank lines")]
#[test_case(": x\n\n" ; "comments")]
fn framer_endless_comments_too_long(text: &str) {
    let mut framer = EventFramer::new();
    for _ in 0..1 << 20 {
        framer.push(text.as_bytes());
        while framer.next_event().is_some() {}
        if framer.is_too_long() {
            return;
        }
    }
    panic!("no limit on what is between events");
}

#[test_case("\n" ; "blank lines")]
#[test_case(": x\n\n" ; "comments")]
fn reader_endless_comments_too_long(text: &str) {
    let mut reader = SseReader::new();
    for _ in 0..1 << 20 {
        reader.push(text.as_bytes());
        loop {
            match reader.next_event() {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => return,
            }
        }
    }
    panic!("no limit on what is between events");
}

/// A heartbeat ten times a second for ten minutes without an event, and again after one.
#[test]
fn framer_heartbeats_accepted() {
    let mut framer = EventFramer::new();
    for _ in 0..2 {
        for _ in 0..10 * 60 * 10 {
            framer.push(b": ping\n\n");
            assert!(framer.next_event().is_some());
            assert!(!framer.is_too_long());
        }
        framer.push(b"data: x\n\n");
        assert!(framer.next_event().is_some());
    }
}

/// Comments that arrive together are one part of the stream, in its place.
#[test]
fn framer_comments_joined() {
    let mut framer = EventFramer::new();
    framer.push(b": a\n\n\n\n: b\n\ndata: x\n\n: c\n\ndata: y\n");
    let mut parts = Vec::new();
    while let Some(event) = framer.next_event() {
        parts.push(event.bytes);
    }
    framer.push(b"\n");
    parts.extend(framer.next_event().map(|it| it.bytes));
    let expected: [&[u8]; 4] = [
        b": a\n\n\n\n: b\n\n",
        b"data: x\n\n",
        b": c\n\n",
        b"data: y\n\n",
    ];
    assert_eq!(parts, expected);
}
