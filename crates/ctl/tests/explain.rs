//! Finding the event that decided a request in the log lines of several nodes.

use parsleylatch_ctl::Explanation;
use test_case::test_case;

/// A call whose response was lost after another node had denied the request.
const BOOKING: &str = r#"
  3.1 edge-2 {"time_ms":105,"level":"INFO","node":"edge-2","event":"attempt failed","id":"b1","endpoint":"i-2","reason":"connection reset","after_ms":3}
  3.1 edge-2 {"time_ms":106,"level":"INFO","node":"edge-2","event":"request refused","id":"b1","reason":"answer_lost","not_run":false}
  3.0 edge-2 {"time_ms":102,"level":"INFO","node":"edge-2","event":"attempt placed","id":"b1","endpoint":"i-2","knowledge_age_ms":40}
  3.0 edge-1 {"time_ms":100,"level":"INFO","node":"edge-1","event":"request denied","id":"b1","denial":"stopping"}
  3.0 edge-1 {"time_ms":101,"level":"INFO","node":"edge-1","event":"attempt placed","id":"other","endpoint":"i-1"}
unrelated line {"time_ms":
"#;

/// A stream that was aborted because the retry budget was exhausted.
const STREAM: &str = r#"
{"time_ms":10,"level":"INFO","node":"n1","event":"attempt placed","id":"s1","endpoint":"i-1"}
{"time_ms":50,"level":"INFO","node":"n1","event":"attempt failed","id":"s1","reason":"silent"}
{"time_ms":50,"level":"INFO","node":"n1","event":"retry budget used up","id":"s1"}
{"time_ms":50,"level":"INFO","node":"n1","event":"request ended","id":"s1","outcome":"broken_off"}
"#;

/// A call that was refused although slots were free.
const REFUSED: &str = r#"
{"time_ms":7,"level":"INFO","node":"n1","event":"request refused","id":"c1","reason":"no_endpoint","not_run":true,"taken":2,"slots":18,"knowledge_age_ms":9000}
"#;

const SERVED: &str = r#"
{"time_ms":7,"level":"INFO","node":"n1","event":"attempt placed","id":"c1"}
{"time_ms":9,"level":"INFO","node":"n1","event":"request ended","id":"c1","outcome":"answered"}
"#;

#[test_case(BOOKING, "b1", "request refused" ; "call with unknown outcome")]
#[test_case(STREAM, "s1", "retry budget used up" ; "aborted stream")]
#[test_case(REFUSED, "c1", "request refused" ; "refused call")]
#[test_case(SERVED, "c1", "request ended" ; "successful call")]
fn read_deciding(log: &str, id: &str, event: &str) {
    let explanation = Explanation::read(log.as_bytes(), id).unwrap();
    assert_eq!(explanation.deciding_event(), Some(event));
}

#[test]
fn text_ordered() {
    let text = Explanation::read(BOOKING.as_bytes(), "b1").unwrap().text();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4);
    assert!(lines[0].starts_with("  +0 ms edge-1: request denied"));
    assert!(lines[1].contains("knowledge_age_ms=40"));
    assert!(lines[3].starts_with("> +6 ms edge-2: request refused"));
    assert!(!text.contains("other"));
}

/// A call that left its failure domain by the share in force, and one that was sent again.
const LEFT: &str = r#"
{"time_ms":7,"level":"INFO","node":"n1","event":"attempt placed","id":"c1","endpoint":"i-7"}
{"time_ms":7,"level":"INFO","node":"n1","event":"request leaves the failure domain","id":"c1","service":"s","endpoint":"i-7","border":"domain","cause":"share","share_ppm":250000,"state":"leaving","reason":"near_dearer"}
{"time_ms":8,"level":"INFO","node":"n1","event":"request leaves the failure domain","id":"c1","service":"s","endpoint":"i-9","border":"region","cause":"repeated","share_ppm":0,"state":"home","reason":"near_in_time"}
{"time_ms":9,"level":"INFO","node":"n1","event":"request leaves the failure domain","id":"c1","service":"s","endpoint":"i-9","border":"domain","cause":"share","share_ppm":0,"state":"home","reason":"near_in_time"}
{"time_ms":9,"level":"INFO","node":"n1","event":"request ended","id":"c1","outcome":"answered"}
"#;

/// An operator sees which share a request left by, and why.
#[test]
fn departures_named() {
    let explanation = Explanation::read(LEFT.as_bytes(), "c1").unwrap();
    let departures = explanation.departures();
    let expected = [
        "n1 sent it beyond its failure domain: near_dearer; share in force 25% (leaving)",
        "n1 sent it beyond its region: it was sent again; share in force 0% (home)",
        "n1 sent it beyond its failure domain: no endpoint nearer would have served it in time; \
         share in force 0% (home)",
    ];
    assert_eq!(departures, expected);
    assert!(explanation.text().ends_with(&format!("{}\n", expected[2])));
    assert_eq!(explanation.deciding_event(), Some("request ended"));
}

/// A request that stayed in its failure domain has no such line.
#[test]
fn departures_none() {
    let explanation = Explanation::read(SERVED.as_bytes(), "c1").unwrap();
    assert!(explanation.departures().is_empty());
}

#[test]
fn read_unknown_request() {
    let error = Explanation::read(BOOKING.as_bytes(), "b2").unwrap_err();
    assert_eq!(error.to_string(), "the log has no line with request id b2");
}
