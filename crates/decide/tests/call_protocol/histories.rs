//! Linearizability of the histories of longer random runs.
//!
//! Random walks drive four requests with the same id through all faults. The
//! replies to the callers form the history. Its specification is a request that
//! runs once, has one answer from then on, and is "not run" only before that.

use parsleylatch_decide::call::CallAnswer;
use proptest::{prelude::*, test_runner::RngSeed};
use todc_utils::{Action, History, linearizability::WGLChecker, specifications::Specification};

use crate::world::{CallerReply, ClaimStep, Faults, World};

/// Fixed seed of the walks, so that the result is reproducible.
const SEED: u64 = 6;
/// Number of requests with the same id; the first two start at the same time.
const REQUESTS: usize = 4;

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
enum RequestOutcome {
    Started,
    Answered(CallAnswer),
    NotRun,
    /// It may have run at any time, or not at all.
    Unknown,
}

/// A request that runs at most once.
struct OnceOnlyRequest;

impl Specification for OnceOnlyRequest {
    type State = Option<CallAnswer>;
    type Operation = RequestOutcome;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &RequestOutcome, state: &Self::State) -> (bool, Self::State) {
        match operation {
            RequestOutcome::Answered(answer) => {
                let fits = state.as_ref().is_none_or(|known| known == answer);
                (fits, Some(answer.clone()))
            }
            RequestOutcome::NotRun => (state.is_none(), state.clone()),
            // Only at the end of the history, where it constrains nothing.
            RequestOutcome::Unknown | RequestOutcome::Started => (true, state.clone()),
        }
    }
}

fn outcome_of(reply: &CallerReply) -> RequestOutcome {
    match reply {
        CallerReply::Answer(answer) => RequestOutcome::Answered(answer.clone()),
        CallerReply::Refused(refusal) if refusal.not_run => RequestOutcome::NotRun,
        CallerReply::Refused(_) => RequestOutcome::Unknown,
    }
}

type Actions = Vec<(usize, Action<RequestOutcome>)>;

/// Takes random steps; returns the final state and the history.
fn walk(claim_step: ClaimStep, choices: &[u16]) -> (World, Actions) {
    let faults = Faults {
        lost_answers: 3,
        crashes: 1,
        timeouts: 3,
    };
    let mut world = World::new(claim_step, faults, false);
    let mut actions = vec![
        (0, Action::Call(RequestOutcome::Started)),
        (1, Action::Call(RequestOutcome::Started)),
    ];
    let mut pending = vec![0, 1];
    for choice in choices {
        let steps = world.steps();
        if let Some(step) = steps.get(*choice as usize % steps.len().max(1)) {
            world.apply(*step);
        }
        pending.retain(|index| {
            let reply = world.reply_to(*index).map(outcome_of);
            let known = reply.filter(|reply| *reply != RequestOutcome::Unknown);
            actions.extend(
                known
                    .iter()
                    .map(|reply| (*index, Action::Response(reply.clone()))),
            );
            known.is_none()
        });
        let next = actions
            .iter()
            .filter(|(_, it)| matches!(it, Action::Call(_)))
            .count();
        let repeats = (0..next).any(|index| world.reply_to(index).is_some());
        if repeats && next < REQUESTS && choice % 7 == 0 {
            world.add_request(false);
            actions.push((next, Action::Call(RequestOutcome::Started)));
            pending.push(next);
        }
    }
    actions.extend(
        pending
            .into_iter()
            .map(|index| (index, Action::Response(RequestOutcome::Unknown))),
    );
    (world, actions)
}

fn is_linearizable(actions: Actions) -> bool {
    WGLChecker::<OnceOnlyRequest>::is_linearizable(History::from_actions(actions))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn callers_history_linearizable(choices in prop::collection::vec(any::<u16>(), 1..80)) {
        let (world, actions) = walk(ClaimStep::Made, &choices);
        prop_assert!(world.runs() <= 1);
        prop_assert!(is_linearizable(actions));
    }
}

/// The checker detects the violation when the claim is skipped.
#[test]
fn callers_history_claim_skipped() {
    let choices: Vec<u16> = vec![0; 40];
    let (world, actions) = walk(ClaimStep::Skipped, &choices);
    assert!(world.runs() > 1);
    assert!(!is_linearizable(actions));
}
