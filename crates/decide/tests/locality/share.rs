//! Share at the borders, from loads by failure domain.

use parsleylatch_decide::relay::{
    Binding, Border, CrossingCosts, Distance, DomainLoad, Locality, LocalityShareState, ShareReason,
};
use parsleylatch_types::{Micros, Millis, MonoTime, ServiceName, Share};
use test_case::test_case;

const ROUND_TRIPS: (Micros, Micros) = (Micros::new(3_000), Micros::new(25_000));
const REMAINING_MS: Millis = Millis::new(1_000);
const STEP_MS: u64 = 200;

fn service() -> ServiceName {
    "s".parse().unwrap()
}

/// Five endpoints that have just reported a wait.
fn reported(domain: &str, distance: Distance, wait_ms: u64) -> DomainLoad {
    DomainLoad {
        open: 5,
        reported: 5,
        weight: 5.0,
        wait: Millis::new(wait_ms).micros(),
        ..DomainLoad::unknown(domain.parse().unwrap(), distance)
    }
}

fn own(wait_ms: u64) -> DomainLoad {
    reported("a", Distance::OwnDomain, wait_ms)
}

fn near(wait_ms: u64) -> DomainLoad {
    reported("b", Distance::OwnRegion, wait_ms)
}

/// Endpoints of which most are suspended.
fn lost(load: DomainLoad) -> DomainLoad {
    DomainLoad {
        open: 0,
        closed: 5,
        reported: 0,
        weight: 0.0,
        ..load
    }
}

struct Node {
    locality: Locality,
    now: MonoTime,
}

fn node() -> Node {
    let mut locality = Locality::new(CrossingCosts::default());
    locality.record_demand(&service(), REMAINING_MS.micros());
    Node {
        locality,
        now: MonoTime::ZERO + Millis::new(1_000),
    }
}

impl Node {
    /// Decides `steps` times by the same loads; returns the share that leaves the domain.
    fn decide(&mut self, steps: usize, loads: &[DomainLoad]) -> Share {
        for _ in 0..steps {
            self.now = self.now + Millis::new(STEP_MS);
            self.locality
                .update(self.now, &service(), loads, ROUND_TRIPS, 0.5);
        }
        self.border(Border::Domain).0
    }

    fn border(&self, border: Border) -> (Share, LocalityShareState, ShareReason) {
        let known = self.locality.service(&service()).unwrap();
        let share = known.border(border);
        (share.share(), share.state(), share.reason())
    }
}

/// The share grows step by step while the own domain costs more, and holds before it falls.
#[test]
fn update_gradual() {
    let mut node = node();
    node.decide(1, &[own(0), near(0)]);
    let first = node.decide(1, &[own(800), near(0)]);
    assert!(first < "150000ppm".parse().unwrap(), "{first}");
    let grown = node.decide(20, &[own(800), near(0)]);
    assert!(grown > "500000ppm".parse().unwrap(), "{grown}");
    assert_eq!(node.border(Border::Domain).1, LocalityShareState::Leaving);
    let held = node.decide(2, &[own(0), near(0)]);
    assert_eq!(held, grown);
    let falling = node.decide(6, &[own(0), near(0)]);
    assert!(falling < grown && falling > Share::ZERO, "{falling}");
    assert_eq!(node.decide(40, &[own(0), near(0)]), Share::ZERO);
    assert_eq!(node.border(Border::Domain).1, LocalityShareState::Home);
}

/// Costs that differ little move nothing, in either direction.
#[test]
fn update_hysteresis() {
    let mut node = node();
    let left = node.decide(10, &[own(800), near(0)]);
    let settled = node.decide(30, &[own(120), near(110)]);
    assert_eq!(settled, left);
    assert_eq!(node.border(Border::Domain).1, LocalityShareState::Settled);
}

/// No reason to leave: the callers have time, or the crossing costs more than the wait.
#[test_case(&[own(100), near(0)], ShareReason::NearInTime ; "callers_have_time")]
#[test_case(&[own(150), near(120)], ShareReason::NearDearer ; "little_time_left")]
#[test_case(&[own(200), near(190)], ShareReason::FarFull ; "elsewhere_no_better")]
fn update_reason(loads: &[DomainLoad], reason: ShareReason) {
    let mut node = node();
    node.decide(3, loads);
    assert_eq!(node.border(Border::Domain).2, reason);
}

/// A domain that is overloaded itself gets no requests of others.
#[test]
fn update_overloaded_neighbour() {
    let mut node = node();
    let full = DomainLoad {
        full: 3,
        ..near(10)
    };
    let share = node.decide(20, &[own(800), full]);
    assert_eq!(share, Share::ZERO);
    assert_eq!(node.border(Border::Domain).2, ShareReason::FarFull);
    assert!(node.locality.avoids(&service(), &"b".parse().unwrap()));
}

/// A lost domain is left at once, without a step in between; its return is gradual.
#[test]
fn update_lost_domain() {
    let mut node = node();
    node.decide(5, &[own(0), near(0)]);
    let share = node.decide(1, &[lost(own(0)), near(0)]);
    assert_eq!(share, "1000000ppm".parse().unwrap());
    assert_eq!(node.border(Border::Domain).1, LocalityShareState::Lost);
    let back = node.decide(3, &[own(0), near(0)]);
    assert!(back > "500000ppm".parse().unwrap(), "{back}");
    assert_eq!(node.decide(30, &[own(0), near(0)]), Share::ZERO);
}

/// A lost region is left in two steps of the same decision.
#[test]
fn update_lost_region() {
    let mut node = node();
    let abroad = reported("c", Distance::OtherRegion, 0);
    node.decide(5, &[own(0), near(0), abroad.clone()]);
    node.decide(1, &[lost(own(0)), lost(near(0)), abroad]);
    let binding = node.locality.binding(&service(), (0.99, 0.99));
    assert_eq!(binding, Binding::OtherRegion);
}

/// The region isn't left while another of its domains serves requests in time.
#[test]
fn update_region_kept() {
    let mut node = node();
    let abroad = reported("c", Distance::OtherRegion, 0);
    node.decide(20, &[own(300), near(0), abroad.clone()]);
    assert_eq!(node.border(Border::Region).0, Share::ZERO);
    node.decide(20, &[own(800), near(500), abroad]);
    assert!(node.border(Border::Region).0 > Share::ZERO);
    assert!(node.border(Border::Domain).0 > Share::ZERO);
}

/// An old report moves the share less than a new one.
#[test]
fn update_old_report() {
    let old = DomainLoad {
        weight: 0.5,
        ..own(800)
    };
    let (mut late, mut early) = (node(), node());
    let by_old = late.decide(5, &[old, near(0)]);
    let by_new = early.decide(5, &[own(800), near(0)]);
    assert!(by_old < by_new, "{by_old} {by_new}");
}

/// Without any report nothing is bound; with one, requests are bound until none came for long.
#[test]
fn binding_unreported() {
    let mut node = node();
    let unknown = |load: DomainLoad| DomainLoad {
        reported: 0,
        weight: 0.0,
        ..load
    };
    node.decide(1, &[unknown(own(0)), unknown(near(0))]);
    let binding = |node: &Node| node.locality.binding(&service(), (0.5, 0.5));
    assert_eq!(binding(&node), Binding::Free);
    node.decide(1, &[own(0), unknown(near(0))]);
    assert_eq!(binding(&node), Binding::Domain);
    node.decide(40, &[unknown(own(0)), unknown(near(0))]);
    assert_eq!(binding(&node), Binding::Domain);
    node.decide(20, &[unknown(own(0)), unknown(near(0))]);
    assert_eq!(binding(&node), Binding::Free);
}
