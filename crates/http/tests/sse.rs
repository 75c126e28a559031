//! Parsing of server-sent events: chunk boundaries must not change the result, and
//! malformed input must be rejected.

use parsleylatch_http::{SseEvent, SseReader, encode_event};
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
