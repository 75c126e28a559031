//! Measures resume latency after the loss of a node, compared with restarting.
//!
//! The node that serves a third of the generations is killed midway. Callers of the
//! system resume at the next node. Callers of the baseline send the request there
//! again with a new id and skip the tokens that they already have.

use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use futures::future::join_all;
use parsleylatch_types::{ModelId, RequestId, TokenCount};
use parsleylatch_wire::caller::GenerationBody;
use tokio::time::{sleep, timeout};

use crate::{
    caller::{Caller, GenerationResponse, StreamEnding},
    exchange::{GenerationClient, Timing},
    fleet::FleetNode,
    latencies::Latencies,
    process::{Signal, send_signal},
    prompts::Prompts,
    report::Report,
};

/// Delay from the start of a trial until the node is killed.
const KILL_AFTER: Duration = Duration::from_millis(800);
/// Time limit of a trial.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before a baseline caller restarts its generation.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Limit on the nodes that a baseline caller tries.
const MAX_NODES_TRIED: usize = 8;

/// Parameters of the trials.
pub(crate) struct NodeLossTrials<'a> {
    /// Client that resumes.
    pub(crate) client: &'a GenerationClient,
    /// Baseline callers, one for each node.
    pub(crate) callers: &'a [Caller],
    /// Running nodes.
    pub(crate) nodes: &'a [FleetNode],
    /// Request without its prompt.
    pub(crate) template: GenerationBody,
    /// Generations in each trial.
    pub(crate) streams: usize,
}

/// Result of one generation.
struct GenerationResult {
    timing: Timing,
    connections: usize,
    is_complete: bool,
}

#[derive(Default)]
struct NodeLossStats {
    resume_latencies: Latencies,
    incomplete: u64,
}

impl NodeLossStats {
    fn add(&mut self, results: &[GenerationResult]) {
        for result in results.iter().filter(|result| result.connections > 1) {
            match result.timing.gaps().max() {
                Some(longest) if result.is_complete => self.resume_latencies.record(longest),
                _ => self.incomplete += 1,
            }
        }
    }

    fn report(&self, report: &mut Report, case: &str) {
        report.add_latencies("resume", case, &self.resume_latencies);
        report.add("answers_not_whole", case, self.incomplete as f64, "");
    }
}

impl NodeLossTrials<'_> {
    /// Kills two nodes in each trial: one for the system, one for the baseline.
    pub(crate) async fn run(&self, trials: usize, report: &mut Report) -> Result<()> {
        let mut prompts = Prompts::new(2, 64, 256, 16);
        let (mut system, mut baseline) = (NodeLossStats::default(), NodeLossStats::default());
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
        restarts: bool,
    ) -> Result<Vec<GenerationResult>> {
        ensure!(
            victim + 2 < self.nodes.len(),
            "too few nodes left for another trial"
        );
        let tasks = bodies.into_iter().enumerate().map(|(position, body)| {
            let node = victim + position % 3;
            let callers: Vec<Caller> = self.callers.to_vec();
            let client = self.client.clone();
            tokio::spawn(async move {
                if restarts {
                    return restart_generation(&callers, node, &body).await;
                }
                let outcome = client.run(node, RequestId::generate(), &body).await;
                GenerationResult {
                    timing: outcome.timing,
                    connections: outcome.connections,
                    is_complete: outcome.done.is_some(),
                }
            })
        });
        let tasks: Vec<_> = tasks.collect();
        sleep(KILL_AFTER).await;
        send_signal(self.nodes[victim].pid, Signal::Kill)?;
        let results = timeout(TRIAL_TIMEOUT, join_all(tasks)).await;
        let results = results.wrap_err("waiting for responses after the loss of a node")?;
        results.into_iter().map(|result| Ok(result?)).collect()
    }
}

/// Sends the request with a new id to the next node until a response is complete.
async fn restart_generation(
    callers: &[Caller],
    first_node: usize,
    body: &GenerationBody,
) -> GenerationResult {
    let mut result = GenerationResult {
        timing: Timing::default(),
        connections: 0,
        is_complete: false,
    };
    while !result.is_complete && result.connections < MAX_NODES_TRIED {
        let caller = &callers[(first_node + result.connections) % callers.len()];
        result.connections += 1;
        if let Ok(GenerationResponse::Events(events)) =
            caller.generate(RequestId::generate(), body).await
        {
            let arrivals = &mut result.timing.arrivals;
            let collected = events.collect(|token| {
                if token.data.index.as_usize() == arrivals.len() {
                    arrivals.push(token.at);
                }
            });
            result.is_complete = matches!(collected.await.ending, StreamEnding::Done(_));
        }
        if !result.is_complete {
            sleep(RECONNECT_DELAY).await;
        }
    }
    result
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
