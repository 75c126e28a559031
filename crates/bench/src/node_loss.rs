//! Resume latency after the loss of a node, beside a caller that asks anew.
//!
//! The node that carries a third of the generations is killed midway. Callers
//! of the system resume at the next node; callers of the baseline ask there
//! with a new id, and pass on only the tokens that they lack.

use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use futures::future::join_all;
use parsleylatch_types::{ModelId, RequestId, TokenCount};
use parsleylatch_wire::caller::GenerationBody;
use tokio::time::{sleep, timeout};

use crate::{
    caller::{Caller, GenerationResponse, StreamEnd},
    exchange::{GenerationClient, Timing},
    fleet::FleetNode,
    latencies::Latencies,
    process::{Signal, send_signal},
    prompts::Prompts,
    report::Report,
};

/// Time after which the node is killed.
const KILL_AFTER: Duration = Duration::from_millis(800);
/// Longest time of a trial.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before a baseline's caller asks anew.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Nodes that a baseline's caller tries.
const NODES_TRIED: usize = 8;

/// Generations of the trials.
pub(crate) struct NodeLossTrials<'a> {
    /// Callers of the system at every node.
    pub(crate) exchanges: &'a GenerationClient,
    /// Callers of the baseline at every node.
    pub(crate) callers: &'a [Caller],
    /// Nodes that live.
    pub(crate) nodes: &'a [FleetNode],
    /// Request without its prompt.
    pub(crate) template: GenerationBody,
    /// Generations of a trial.
    pub(crate) streams: usize,
}

/// One generation as it ended.
struct Ended {
    timing: Timing,
    connections: usize,
    whole: bool,
}

#[derive(Default)]
struct Tally {
    resumes: Latencies,
    lost: u64,
}

impl Tally {
    fn add(&mut self, ended: &[Ended]) {
        for one in ended.iter().filter(|one| one.connections > 1) {
            match one.timing.gaps().max() {
                Some(longest) if one.whole => self.resumes.record(longest),
                _ => self.lost += 1,
            }
        }
    }

    fn report(&self, report: &mut Report, case: &str) {
        report.add_latencies("resume", case, &self.resumes);
        report.add("answers_not_whole", case, self.lost as f64, "");
    }
}

impl NodeLossTrials<'_> {
    /// Kills two nodes in each trial: one under the system, one under the baseline.
    pub(crate) async fn run(&self, trials: usize, report: &mut Report) -> Result<()> {
        let mut prompts = Prompts::new(2, 64, 256, 16);
        let (mut system, mut baseline) = (Tally::default(), Tally::default());
        for trial in 0..trials {
            let bodies = self.bodies(&mut prompts);
            system.add(&self.run_one(2 * trial, bodies, false).await?);
            let bodies = self.bodies(&mut prompts);
            baseline.add(&self.run_one(2 * trial + 1, bodies, true).await?);
        }
        system.report(report, "kill_node resume");
        baseline.report(report, "kill_node ask_anew");
        Ok(())
    }

    fn bodies(&self, prompts: &mut Prompts) -> Vec<GenerationBody> {
        let bodies = (0..self.streams).map(|_| GenerationBody {
            prompt: prompts.next_prompt(),
            ..self.template.clone()
        });
        bodies.collect()
    }

    /// Runs a group of generations at the next three nodes and kills the first.
    async fn run_one(
        &self,
        victim: usize,
        bodies: Vec<GenerationBody>,
        anew: bool,
    ) -> Result<Vec<Ended>> {
        ensure!(victim + 2 < self.nodes.len(), "no node is left to kill");
        let running = bodies.into_iter().enumerate().map(|(position, body)| {
            let node = victim + position % 3;
            let callers: Vec<Caller> = self.callers.to_vec();
            let exchanges = self.exchanges.clone();
            tokio::spawn(async move {
                if anew {
                    return ask_anew(&callers, node, &body).await;
                }
                let outcome = exchanges.run(node, RequestId::generate(), &body).await;
                Ended {
                    timing: outcome.timing,
                    connections: outcome.connections,
                    whole: outcome.done.is_some(),
                }
            })
        });
        let running: Vec<_> = running.collect();
        sleep(KILL_AFTER).await;
        send_signal(self.nodes[victim].pid, Signal::Kill)?;
        let ended = timeout(TRIAL_TIMEOUT, join_all(running)).await;
        let ended = ended.wrap_err("answers after the loss of a node")?;
        ended.into_iter().map(|one| Ok(one?)).collect()
    }
}

/// Asks with a new id at the next node until an answer is whole.
async fn ask_anew(callers: &[Caller], first: usize, body: &GenerationBody) -> Ended {
    let mut ended = Ended {
        timing: Timing::default(),
        connections: 0,
        whole: false,
    };
    while !ended.whole && ended.connections < NODES_TRIED {
        let caller = &callers[(first + ended.connections) % callers.len()];
        ended.connections += 1;
        if let Ok(GenerationResponse::Events(events)) =
            caller.generate(RequestId::generate(), body).await
        {
            let arrivals = &mut ended.timing.arrivals;
            let collected = events.collect(|token| {
                if token.data.index.as_usize() == arrivals.len() {
                    arrivals.push(token.at);
                }
            });
            ended.whole = matches!(collected.await.ending, StreamEnd::Done(_));
        }
        if !ended.whole {
            sleep(RECONNECT_DELAY).await;
        }
    }
    ended
}

/// Request without its prompt.
pub(crate) fn template(model: &ModelId, max_tokens: TokenCount) -> GenerationBody {
    GenerationBody {
        model: model.clone(),
        prompt: String::new(),
        max_tokens,
        seed: None,
        adapter: None,
    }
}
