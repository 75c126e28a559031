//! Calls of many nodes to the few endpoints of a service, under the loads that their admission is
//! for, and its decisions one by one.

mod decisions;
mod model;

use std::thread;

use parsleylatch_types::Millis;
use test_case::test_case;

use model::{Load, Strategy, Tally, replay};

/// 600 calls per second fill the endpoints.
const SLOW_SERVICE: Load = Load {
    offered: 0.5,
    burst: None,
    work_us: 60_000,
    goal_ms: Millis::new(300),
    slow_percent: 100,
    is_reported: true,
    end_s: 8,
};
/// 2,400 calls per second fill the endpoints, whose queues are full before calls are late.
const FAST_SERVICE: Load = Load {
    work_us: 15_000,
    goal_ms: Millis::new(150),
    end_s: 6,
    ..SLOW_SERVICE
};
const OFFERED: [f64; 6] = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0];

/// Tallies of both strategies for each offered load.
fn replay_all(load: Load) -> Vec<(f64, Tally, Tally)> {
    let threads = OFFERED.map(|offered| {
        let load = Load { offered, ..load };
        let run = move |strategy| replay(strategy, load, 1);
        let threads =
            [Strategy::SendAtOnce, Strategy::Limit].map(|it| thread::spawn(move || run(it)));
        (offered, threads)
    });
    let joined = threads
        .into_iter()
        .map(|(offered, [before, after])| (offered, before.join().unwrap(), after.join().unwrap()));
    let tallies: Vec<_> = joined.collect();
    println!("work {} us, slower {} %", load.work_us, load.slow_percent);
    println!(
        "offered | sent at once: in time, answered (per s) | limited: in time, answered (per s)"
    );
    for (offered, before, after) in &tallies {
        println!(
            "{offered:7.1} | {:8.1} {:8.1} | {:8.1} {:8.1}",
            before.per_second(before.in_time),
            before.per_second(before.answered),
            after.per_second(after.in_time),
            after.per_second(after.answered),
        );
    }
    tallies
}

/// Guards against queues so full that every call is late, against slots that stay empty, and
/// against calls that wait only to be refused.
#[test_case(SLOW_SERVICE ; "slow service")]
#[test_case(Load { slow_percent: 250, ..SLOW_SERVICE } ; "slow service with slower endpoints")]
#[test_case(FAST_SERVICE ; "fast service")]
#[test_case(Load { slow_percent: 250, ..FAST_SERVICE } ; "fast service with slower endpoints")]
fn overload_goodput_kept(load: Load) {
    let tallies = replay_all(load);
    let goodput = |tally: &Tally| tally.per_second(tally.in_time);
    let best = tallies.iter().map(|(_, _, after)| goodput(after));
    let best = best.fold(0.0, f64::max);
    for (offered, before, after) in &tallies {
        assert_eq!(after.run_twice, 0, "{offered}");
        assert_eq!(after.late_refusals, 0, "{offered}");
        assert!(after.in_time * 20 >= before.in_time * 19, "{offered}");
        if *offered >= 2.5 {
            assert!(
                goodput(after) >= 0.9 * best,
                "{offered}: {} of {best}",
                goodput(after)
            );
            let answered = after.per_second(after.answered);
            assert!(
                answered >= 0.75 * load.capacity_per_s(),
                "{offered}: {answered}"
            );
        }
    }
}

/// On the code without a limit, almost all calls are late.
#[test]
fn overload_goodput_better_than_sent_at_once() {
    let load = Load {
        offered: 3.0,
        ..SLOW_SERVICE
    };
    let before = replay(Strategy::SendAtOnce, load, 2);
    let after = replay(Strategy::Limit, load, 2);
    println!("sent at once: {before:?}");
    println!("limited: {after:?}");
    assert!(after.in_time > 2 * before.in_time);
}

/// Guards against refusals and waits on a calm day, also while one endpoint is slower.
#[test_case(SLOW_SERVICE ; "slow service")]
#[test_case(Load { slow_percent: 250, ..SLOW_SERVICE } ; "slow service with slower endpoints")]
#[test_case(FAST_SERVICE ; "fast service")]
#[test_case(Load { slow_percent: 250, ..FAST_SERVICE } ; "fast service with slower endpoints")]
fn calm_load_untouched(load: Load) {
    for seed in 1..=5 {
        let before = replay(Strategy::SendAtOnce, load, seed);
        let after = replay(Strategy::Limit, load, seed);
        println!(
            "{:.1} ms, {:.1} ms",
            before.mean_answer_ms(),
            after.mean_answer_ms()
        );
        assert_eq!((after.refusals, after.failed), (0, 0));
        assert_eq!(after.answered, after.arrived);
        assert!(after.mean_answer_ms() <= before.mean_answer_ms() + 2.0);
    }
}

/// Guards against a limit that stays in force after a burst.
#[test]
fn limit_after_burst_lifted() {
    let load = Load {
        burst: Some((3.0, 2_000_000)),
        end_s: 12,
        ..SLOW_SERVICE
    };
    let before = replay(Strategy::SendAtOnce, load, 1);
    let after = replay(Strategy::Limit, load, 1);
    println!("sent at once: {before:?}");
    println!("limited: {after:?}");
    assert!(after.in_time * 100 > before.in_time * 115);
    assert_eq!(after.late_refusals, 0);
}

/// Without reports, calls are sent as if there were no limit.
#[test]
fn unreported_load_sent_at_once() {
    let load = Load {
        offered: 1.5,
        is_reported: false,
        ..SLOW_SERVICE
    };
    let before = replay(Strategy::SendAtOnce, load, 1);
    let after = replay(Strategy::Limit, load, 1);
    println!("sent at once: {before:?}");
    println!("limited: {after:?}");
    assert!(after.answered * 10 >= before.answered * 9);
}
