//! Loading, validating and stepping charts.

use parsleylatch_chart::{Bindings, ChartErrorKind, Machine, chart_names};
use parsleylatch_types::{Millis, MonoTime};
use test_case::test_case;

chart_names! {
    /// States of the chart under test.
    enum DoorState {
        Closed,
        Open,
        Removed,
    }
}

chart_names! {
    /// Events of the chart under test.
    enum DoorEvent {
        Push,
        Remove,
        TimedOut,
    }
}

#[derive(Default)]
struct Door {
    locked: bool,
    pushes: u32,
    entered: u32,
    left: u32,
}

const DOOR: &str = r#"
// A self-closing door.
{
  "chart": "door", "about": "a door", "initial": "closed",
  "timeouts_ms": { "CLOSE_AFTER_MS": 50 },
  "states": {
    "closed": {
      "exit": ["count_left"],
      "on": {
        "push": [
          { "guard": "locked", "do": ["count_push"] },
          { "to": "open", "do": ["count_push"] }
        ],
        "remove": [ { "to": "removed" } ]
      },
      "ignore": ["timed_out"]
    },
    "open": {
      "entry": ["count_entered"],
      "after": { "timeout": "CLOSE_AFTER_MS", "event": "timed_out" },
      "on": {
        "push": [ { "to": "open" } ],
        "timed_out": [ { "to": "closed" } ]
      },
      "ignore": ["remove"]
    },
    "removed": { "final": true }
  }
}"#;

type DoorMachine = Machine<DoorState, DoorEvent, Door>;

fn bindings() -> Bindings<Door> {
    Bindings::new()
        .guard("locked", |door: &Door| door.locked)
        .action("count_push", |door| door.pushes += 1)
        .action("count_entered", |door| door.entered += 1)
        .action("count_left", |door| door.left += 1)
}

fn compile(text: &str) -> Result<DoorMachine, ChartErrorKind> {
    DoorMachine::compile("door", text, &bindings()).map_err(|error| error.kind)
}

#[test]
fn step_guard_holds() {
    let machine = compile(DOOR).unwrap();
    let mut door = Door {
        locked: true,
        ..Door::default()
    };
    let mut instance = machine.start(MonoTime::ZERO, &mut door);
    assert!(!machine.step(&mut instance, MonoTime::ZERO, DoorEvent::Push, &mut door));
    assert_eq!(
        (instance.state(), door.pushes, door.left),
        (DoorState::Closed, 1, 0)
    );
}

#[test]
fn step_self_transition_restarts_timeout() {
    let machine = compile(DOOR).unwrap();
    let mut door = Door::default();
    let mut instance = machine.start(MonoTime::ZERO, &mut door);
    machine.step(&mut instance, MonoTime::ZERO, DoorEvent::Push, &mut door);
    let later = MonoTime::ZERO + Millis::new(30);
    machine.step(&mut instance, later, DoorEvent::Push, &mut door);
    assert_eq!(instance.next_deadline(), Some(later + Millis::new(50)));
    assert_eq!(door.entered, 2);
}

#[test]
fn expire_only_when_due() {
    let machine = compile(DOOR).unwrap();
    let mut door = Door::default();
    let mut instance = machine.start(MonoTime::ZERO, &mut door);
    machine.step(&mut instance, MonoTime::ZERO, DoorEvent::Push, &mut door);
    assert!(!machine.expire(&mut instance, MonoTime::ZERO + Millis::new(49), &mut door));
    assert!(machine.expire(&mut instance, MonoTime::ZERO + Millis::new(50), &mut door));
    assert_eq!(instance.state(), DoorState::Closed);
}

#[test]
fn step_final_state_stays() {
    let machine = compile(DOOR).unwrap();
    let mut door = Door::default();
    let mut instance = machine.start(MonoTime::ZERO, &mut door);
    machine.step(&mut instance, MonoTime::ZERO, DoorEvent::Remove, &mut door);
    assert!(machine.is_final(&instance));
    assert!(!machine.step(&mut instance, MonoTime::ZERO, DoorEvent::Push, &mut door));
}

#[test_case(r#""to": "open", "do""#, r#""to": "ajar", "do""#, "state `ajar`" ; "unknown state")]
#[test_case(r#""guard": "locked""#, r#""guard": "jammed""#, "guard `jammed`" ; "unknown guard")]
#[test_case(r#""exit": ["count_left"]"#, r#""exit": ["count_gone"]"#, "action `count_gone`" ; "unknown action")]
#[test_case(r#""ignore": ["remove"]"#, r#""ignore": []"#, "neither handles nor ignores" ; "unhandled event")]
#[test_case(r#""ignore": ["remove"]"#, r#""ignore": ["remove", "push"]"#, "both handles and ignores" ; "handled and ignored")]
#[test_case(r#"{ "guard": "locked", "do": ["count_push"] }"#, r#"{ "do": ["count_push"] }"#, "the last transition, and no other, must be unguarded" ; "unguarded first")]
#[test_case(r#"{ "to": "removed" }"#, r#"{ "to": "closed" }"#, "unreachable from the initial state" ; "unreachable")]
#[test_case(r#""exit": ["count_left"],"#, "", "defined but not used" ; "unused action")]
#[test_case(r#""event": "timed_out""#, r#""event": "late""#, "event `late`" ; "unknown event")]
#[test_case(r#""initial": "closed""#, r#""initial": "shut""#, "state `shut`" ; "unknown initial")]
#[test_case(r#""about""#, r#""abuot""#, "line 4" ; "unknown field")]
fn compile_refused(from: &str, to: &str, reason: &str) {
    assert!(
        DOOR.contains(from),
        "the pattern `{from}` is not in the chart"
    );
    let error = compile(&DOOR.replace(from, to))
        .err()
        .expect("the chart should be rejected")
        .to_string();
    assert!(error.contains(reason), "{error}");
}
