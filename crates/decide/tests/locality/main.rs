//! Share of requests that leaves the failure domain, under the loads that it has to handle.

mod model;
mod placement;
mod share;

use model::{Replayed, Scenario, Strategy, replay};
use parsleylatch_decide::relay::{Border, LocalityShareState, ShareReason};
use test_case::test_case;

const STRATEGIES: [Strategy; 4] = [
    Strategy::OwnDomain,
    Strategy::LeastLoaded,
    Strategy::Threshold,
    Strategy::MarginalCost,
];

/// Three times as many calls in domain `a` as in each other one: 1.25 times its capacity, and 0.63
/// times that of all domains.
fn replay_imbalance(strategy: Strategy, seed: u64) -> Replayed {
    replay(Scenario {
        strategy,
        imbalance: 3.0,
        seed,
        ..Scenario::default()
    })
}

/// All endpoints of domain `a` are lost for 1.2 s, at half of the capacity.
fn replay_loss(strategy: Strategy, seed: u64) -> Replayed {
    replay(Scenario {
        strategy,
        calls_per_s: 320.0,
        loss_ms: LOSS_MS,
        seed,
        ..Scenario::default()
    })
}

const LOSS_MS: (u64, u64) = (6_000, 7_200);

/// Prints what the four strategies yield; the design note quotes the table.
#[test]
fn replay_table() {
    println!(
        "imbalance strategy      goodput a   b..d  MB domain  region  a mean p95 ms  b mean p95 ms"
    );
    for imbalance in [1.0, 2.0, 3.0, 4.0] {
        for strategy in STRATEGIES {
            let replayed = replay(Scenario {
                strategy,
                imbalance,
                ..Scenario::default()
            });
            let others = (1..4).map(|it| replayed.goodput(it)).fold(1.0, f64::min);
            let name = format!("{strategy:?}");
            println!(
                "{imbalance:>6}:1   {name:<14} {:>8.3} {others:>6.3} {:>10.1} {:>7.1} {:>7.0} {:>6} {:>7.0} {:>6}",
                replayed.goodput(0),
                replayed.domain_bytes as f64 / 1e6,
                replayed.region_bytes as f64 / 1e6,
                replayed.mean_ms(0),
                replayed.quantile_ms(0, 0.95),
                replayed.mean_ms(1),
                replayed.quantile_ms(1, 0.95),
            );
        }
    }
}

/// The overloaded domain is served nearly as well as if all endpoints were one pool, with at most
/// half of the bytes over borders.
#[test_case(1 ; "seed_1")]
#[test_case(2 ; "seed_2")]
#[test_case(3 ; "seed_3")]
fn replay_overloaded_domain(seed: u64) {
    let least = replay_imbalance(Strategy::LeastLoaded, seed);
    let share = replay_imbalance(Strategy::MarginalCost, seed);
    let (served, best) = (share.goodput(0), least.goodput(0));
    assert!(served >= 0.95 * best, "{served} of {best}");
    let (bytes, most) = (share.bytes(), least.bytes());
    assert!(2 * bytes <= most, "{bytes} of {most}");
}

/// 120 nodes, of which each sees few responses, still decide as one.
#[test]
fn replay_many_nodes() {
    let of = |strategy| {
        replay(Scenario {
            strategy,
            imbalance: 3.0,
            nodes_per_domain: 30,
            ..Scenario::default()
        })
    };
    let (least, share) = (of(Strategy::LeastLoaded), of(Strategy::MarginalCost));
    let (served, best) = (share.goodput(0), least.goodput(0));
    assert!(served >= 0.95 * best, "{served} of {best}");
    let (bytes, most) = (share.bytes(), least.bytes());
    assert!(2 * bytes <= most, "{bytes} of {most}");
    println!("120 nodes: {served:.3} of {best:.3}, {bytes} of {most} bytes");
}

/// Calls of the overloaded domain delay those of the other domains by a tenth at most.
#[test_case(1 ; "seed_1")]
#[test_case(2 ; "seed_2")]
#[test_case(3 ; "seed_3")]
fn replay_own_callers_elsewhere(seed: u64) {
    let alone = replay_imbalance(Strategy::OwnDomain, seed);
    let share = replay_imbalance(Strategy::MarginalCost, seed);
    for domain in 1..4 {
        let (took, before) = (share.mean_ms(domain), alone.mean_ms(domain));
        assert!(
            took <= 1.1 * before,
            "domain {domain}: {took} after {before}"
        );
        assert!(share.goodput(domain) >= 0.99 * alone.goodput(domain));
    }
}

/// A balanced demand that the endpoints can serve doesn't leave its domain.
#[test]
fn replay_balanced_demand() {
    let share = replay(Scenario::default());
    let least = replay(Scenario {
        strategy: Strategy::LeastLoaded,
        ..Scenario::default()
    });
    let (bytes, most) = (share.bytes(), least.bytes());
    assert!(bytes * 20 <= most, "{bytes} of {most}");
    assert!(share.goodput(0) >= 0.99);
}

/// Overload of all domains: crossing borders would help nobody.
#[test]
fn replay_overload_everywhere() {
    let overloaded = |strategy| {
        replay(Scenario {
            strategy,
            calls_per_s: 900.0,
            ..Scenario::default()
        })
    };
    let share = overloaded(Strategy::MarginalCost);
    let least = overloaded(Strategy::LeastLoaded);
    let (bytes, most) = (share.bytes(), least.bytes());
    assert!(2 * bytes <= most, "{bytes} of {most}");
    let (served, best) = (share.goodput(0), least.goodput(0));
    assert!(served >= 0.95 * best, "{served} of {best}");
}

/// The calls leave a lost domain at once, come back gradually, and then stay.
#[test_case(1 ; "seed_1")]
#[test_case(2 ; "seed_2")]
#[test_case(3 ; "seed_3")]
fn replay_lost_domain(seed: u64) {
    let share = replay_loss(Strategy::MarginalCost, seed);
    // Two failures show the loss to each of the six nodes, some of them at the same time.
    let (begin, end) = LOSS_MS;
    let left = share.left_a(begin + 300..end);
    assert!(left > 0.95, "{left} left the lost domain");
    let goodput = share.goodput(0);
    assert!(goodput > 0.97, "{goodput}");
    // The returning calls don't come all at once.
    let first = share.left_a(end + 300..end + 900);
    assert!(first > 0.3, "{first} still away after 0.6 s");
    let at_lost = share.failed_ms.iter().filter(|it| **it > begin + 300);
    assert!(at_lost.clone().count() < 30, "{}", at_lost.count());
    // The five endpoints have 40 slots, of which the domain's calls need 20.
    let most = (end..end + 4_000).step_by(200).map(|from| {
        let sent = share.sent_to_a_ms.iter();
        sent.filter(|it| (from..from + 200).contains(*it)).count()
    });
    assert!(most.max() <= Some(40));
    let last = share.left_a(end + 7_000..end + 12_000);
    assert!(last < 0.1, "{last} still away after 7 s");
    let reasons = share.changes.iter().map(|(_, it)| (it.state, it.reason));
    let mut lost = reasons.filter(|it| it.0 == LocalityShareState::Lost);
    assert!(lost.all(|it| it.1 == ShareReason::NearLost));
}

/// The store is unavailable, so that the lost endpoints of the domain stay listed: the calls stay
/// away, and few attempts go to the lost endpoints.
#[test]
fn replay_store_unavailable() {
    let share = replay(Scenario {
        calls_per_s: 320.0,
        loss_ms: (6_000, 60_000),
        ..Scenario::default()
    });
    let goodput = share.goodput(0);
    assert!(goodput > 0.95, "{goodput}");
    let failed = share.failed_ms.iter().filter(|it| **it > 7_000).count();
    let sent = share.calls.iter().filter(|it| it.domain == 0).count();
    assert!(failed * 5 < sent, "{failed} failed of {sent} calls");
}

/// Reports that are a second late slow the decision down, but don't let all nodes leave and
/// return in turn.
#[test]
fn replay_old_reports() {
    let with_lag = |report_lag_ms, strategy| {
        replay(Scenario {
            strategy,
            imbalance: 3.0,
            report_lag_ms,
            end_ms: 40_000,
            ..Scenario::default()
        })
    };
    let old = with_lag(1_000, Strategy::MarginalCost);
    let least = with_lag(1_000, Strategy::LeastLoaded);
    let (served, best) = (old.goodput(0), least.goodput(0));
    assert!(served >= 0.9 * best, "{served} of {best}");
    let away: Vec<f64> = (10..40)
        .map(|it| old.left_a(it * 1_000..(it + 1) * 1_000))
        .collect();
    // About a third has to leave.
    let all = away.iter().filter(|it| **it > 0.85).count();
    assert!(all <= 3, "{away:.2?}");
}

/// Without any report of a load the costs of the endpoints decide as without shares.
#[test]
fn replay_unreported_load() {
    let share = replay(Scenario {
        imbalance: 3.0,
        is_reported: false,
        ..Scenario::default()
    });
    assert!(
        share
            .changes
            .iter()
            .all(|(_, it)| it.reason == ShareReason::LoadUnknown)
    );
    let goodput = share.goodput(0);
    assert!(goodput > 0.9, "{goodput}");
}

/// A change of a share says which border it concerns, and by which loads it was decided.
#[test]
fn replay_changes_explained() {
    let share = replay_imbalance(Strategy::MarginalCost, 1);
    let raised = share.changes.iter().map(|(_, it)| it);
    let mut raised = raised.filter(|it| it.border == Border::Domain && it.share > it.earlier);
    let first = raised.next().unwrap();
    assert_eq!(first.reason, ShareReason::NearDearer);
    let (near, far) = (first.near.wait.unwrap(), first.far.wait.unwrap());
    assert!(near > far.saturating_add(first.crossing));
}
