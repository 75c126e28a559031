//! Lines of the values in a JSON text.

use parsleylatch_settings::json_line;
use test_case::test_case;

const TEXT: &str = r#"{
  "name": "a \"routes\": [ \\",
  "nested": {"routes": [{"timeout_ms": 1}]},
  "routes": [
    {"name": "r-0", "list": [1, [2, "]"], {}],
     "timeout_ms": 5},
    {
      "name": "r-1",
      "timeout_ms": 7
    }
  ]
}
"#;

/// Guards against naming the place of another value with the same name.
#[test_case("", 1 ; "document")]
#[test_case("name", 2 ; "name")]
#[test_case("nested.routes[0].timeout_ms", 3 ; "nested")]
#[test_case("routes", 4 ; "list")]
#[test_case("routes[0].timeout_ms", 6 ; "field of first element")]
#[test_case("routes[0].list[1]", 5 ; "element of element")]
#[test_case("routes[1]", 7 ; "second element")]
#[test_case("routes[1].timeout_ms", 9 ; "field of second element")]
#[test_case("routes[1].attempts", 7 ; "missing field")]
#[test_case("routes[2].name", 4 ; "missing element")]
#[test_case("name[0]", 2 ; "element of a text")]
fn json_line_of_path(path: &str, line: usize) {
    assert_eq!(json_line(TEXT, path), line);
}

/// Text that isn't JSON gives some line, and no panic.
#[test]
fn json_line_malformed() {
    for end in 0..TEXT.len() {
        let line = json_line(&TEXT[..end], "routes[1].timeout_ms");
        assert!((1..=13).contains(&line));
    }
    for text in ["", "\"", "{\"routes", "[[[", "{]", "{\"routes\": \"\\"] {
        assert_eq!(json_line(text, "routes[0].name"), 1);
    }
}
