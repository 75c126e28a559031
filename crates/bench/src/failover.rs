//! Measures resume latency after the loss of an engine, compared with baselines.
//!
//! Each trial runs a group of generations, fails the engine that serves most of them
//! midway, and takes the longest interval between two tokens of each generation that
//! lost its engine. The recovery methods alternate on the same fleet.

use std::{collections::BTreeMap, path::PathBuf, sync::Arc, time::Duration};

use argh::FromArgs;
use eyre::{Result, bail, ensure, eyre};
use futures::future::join_all;
use parsleylatch_endpoint::EngineClient;
use parsleylatch_settings::{KeyDigest, Tier};
use parsleylatch_standin::EngineFault;
use parsleylatch_store::{Condition, StoreClient};
use parsleylatch_types::{EndpointId, RequestId, TokenCount};
use parsleylatch_wire::caller::GenerationBody;
use strum::{Display, EnumIter, IntoEnumIterator};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    caller::Caller,
    check::{self, BackEndCounts},
    control::{Control, EngineCounts},
    direct,
    exchange::{GenerationClient, Timing},
    fleet::{Fleet, FleetEngine},
    history::Recorder,
    latencies::Latencies,
    launch::{FleetShape, LaunchedFleet},
    load::{engine_versions, node_callers, report_check_summary, tier_workspace},
    node_loss::{self, NodeLossTrials},
    process::{Signal, send_signal},
    prompts::Prompts,
    report::Report,
};

/// API key of the workspace with a fixed token timeout.
const FIXED_TIMEOUT_KEY: &str = "bench-fixed-key";
/// Token timeout of that workspace.
const FIXED_TIMEOUT_MS: u64 = 2_000;
/// Wait after a trial so that late tokens are still counted.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Time limit of a trial.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(40);
/// Engines in addition to those that trials kill.
const SPARE_ENGINES: usize = 4;

/// measures resume latency after engine losses, compared with baselines
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "resume")]
pub(crate) struct ResumeArgs {
    /// script that starts a fleet
    #[argh(option, default = "PathBuf::from(\"scripts/local-fleet\")")]
    pub(crate) script: PathBuf,
    /// nodes of the fleet
    #[argh(option, default = "3")]
    pub(crate) nodes: usize,
    /// trials in which a node is killed; they run last
    #[argh(option, default = "3")]
    pub(crate) node_trials: usize,
    /// trials of each failure mode and recovery method
    #[argh(option, default = "4")]
    pub(crate) trials: usize,
    /// generations in each trial
    #[argh(option, default = "12")]
    pub(crate) streams: usize,
    /// tokens in each generation
    #[argh(option, default = "60")]
    pub(crate) max_tokens: u32,
    /// tokens after which the engine fails
    #[argh(option, default = "25")]
    pub(crate) break_after: usize,
}

/// How an engine fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
enum FailureMode {
    /// The process is killed.
    Kill,
    /// The process is stopped with `SIGSTOP`.
    Freeze,
    /// Its streams are cut.
    Cut,
}

/// How a generation recovers from the loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
enum RecoveryMethod {
    /// The system resumes, with timeouts derived from the engines' token rate.
    Paced,
    /// The system resumes, with a fixed long timeout.
    FixedTimeout,
    /// A client connected directly to the engines restarts the generation.
    Restart,
}

/// Totals of one failure mode and recovery method.
#[derive(Default)]
struct FailoverStats {
    resume_latencies: Latencies,
    interrupted: u64,
    generated: u64,
    delivered: u64,
}

/// Result of one generation of a trial.
struct StreamResult {
    timing: Timing,
    lost_engine: bool,
}

struct FailoverTrials {
    args: ResumeArgs,
    fleet: Fleet,
    control: Control,
    engines: Vec<FleetEngine>,
    paced: GenerationClient,
    fixed: GenerationClient,
    prompts: Prompts,
}

/// Runs all trials and reports the measurements.
///
/// # Errors
/// The first violation, or the reason why a trial failed.
pub(crate) async fn run(args: ResumeArgs, report: &mut Report) -> Result<()> {
    let killed_engines = args.trials * RecoveryMethod::iter().count();
    let shape = FleetShape {
        nodes: args.nodes + 2 * args.node_trials,
        engines: killed_engines + SPARE_ENGINES,
        options: Vec::new(),
    };
    let launched = LaunchedFleet::start(&args.script, &shape).await?;
    let fleet = launched.fleet.clone();
    write_fixed_timeout_template(&fleet).await?;
    let recorder = Arc::new(Recorder::new());
    let mut trials = FailoverTrials::new(args.clone(), fleet, &recorder)?;
    let mut stats_by_case = BTreeMap::<String, FailoverStats>::new();
    // Kills run last because they reduce the number of engines.
    for mode in [FailureMode::Cut, FailureMode::Freeze, FailureMode::Kill] {
        for _ in 0..args.trials {
            for method in RecoveryMethod::iter() {
                let stats = stats_by_case.entry(format!("{mode} {method}")).or_default();
                trials.run_one(mode, method, stats).await?;
            }
        }
    }
    for (case, stats) in &stats_by_case {
        stats.report(report, case);
    }
    trials.run_node_loss_trials(report).await?;
    let counts = BackEndCounts {
        versions: engine_versions(&trials.fleet),
        ..BackEndCounts::default()
    };
    let summary = check::check(&recorder.entries(), &counts);
    report_check_summary(report, &summary);
    match summary.violations.first() {
        Some(first) => bail!(
            "{} violations, the first: {first}",
            summary.violations.len()
        ),
        None => Ok(()),
    }
}

impl FailoverStats {
    fn report(&self, report: &mut Report, case: &str) {
        report.add_latencies("resume", case, &self.resume_latencies);
        let ratio = self.generated as f64 / self.delivered.max(1) as f64;
        report.add("tokens_generated_by_delivered", case, ratio, "");
        let extra = self.generated.saturating_sub(self.delivered) as f64;
        let extra = extra / self.interrupted.max(1) as f64;
        report.add("extra_tokens_per_loss", case, extra, "tok");
    }
}

impl FailoverTrials {
    fn new(args: ResumeArgs, fleet: Fleet, recorder: &Arc<Recorder>) -> Result<Self> {
        let paying = tier_workspace(&fleet, Tier::Paying)?;
        let client_for = |key: &str| {
            let callers = fleet.nodes.iter().map(|node| Caller::new(node.caller, key));
            GenerationClient::new(callers.collect(), paying.id.clone(), Arc::clone(recorder))
        };
        Ok(Self {
            control: Control::new(&fleet.admin_key),
            engines: fleet.engines.clone(),
            paced: client_for(&paying.key),
            fixed: client_for(FIXED_TIMEOUT_KEY),
            prompts: Prompts::new(1, 64, 256, 16),
            fleet,
            args,
        })
    }

    /// Runs the node loss trials.
    async fn run_node_loss_trials(&self, report: &mut Report) -> Result<()> {
        let workspace = tier_workspace(&self.fleet, Tier::Paying)?;
        let callers = node_callers(&self.fleet, workspace);
        let trials = NodeLossTrials {
            client: &self.paced,
            callers: &callers,
            nodes: &self.fleet.nodes,
            template: node_loss::template(&workspace.model, TokenCount::new(self.args.max_tokens)),
            streams: self.args.streams,
        };
        trials.run(self.args.node_trials, report).await
    }

    async fn run_one(
        &mut self,
        mode: FailureMode,
        method: RecoveryMethod,
        stats: &mut FailoverStats,
    ) -> Result<()> {
        let before = self.counts().await?;
        let (progress, mut max_arrived) = watch::channel(0_usize);
        let running = self.start_streams(method, &Arc::new(progress))?;
        let trial = async {
            let break_after = self.args.break_after;
            max_arrived
                .wait_for(|arrived| *arrived >= break_after)
                .await?;
            let at_failure = self.counts().await?;
            let victim = self.busiest_engine(&before, &at_failure)?;
            self.fail_engine(&victim, mode).await?;
            let results = join_all(running).await;
            let results: Result<Vec<StreamResult>> =
                results.into_iter().map(|result| result?).collect();
            self.restore_engine(&victim, mode).await?;
            Ok::<_, eyre::Report>((results?, at_failure, victim))
        };
        let (results, at_failure, victim) = timeout(TRIAL_TIMEOUT, trial).await??;
        sleep(SETTLE_TIME).await;
        if mode == FailureMode::Kill {
            self.engines.retain(|engine| engine.id != victim.id);
        }
        let mut after = self.counts().await?;
        if mode == FailureMode::Kill {
            after.insert(victim.id.clone(), at_failure[&victim.id]);
        }
        stats.add(
            &results,
            generated(&after) - generated_before(&before, &after),
        );
        ensure!(
            stats.interrupted > 0,
            "the failed engine served no generation"
        );
        Ok(())
    }

    fn start_streams(
        &mut self,
        method: RecoveryMethod,
        progress: &Arc<watch::Sender<usize>>,
    ) -> Result<Vec<tokio::task::JoinHandle<Result<StreamResult>>>> {
        let model = tier_workspace(&self.fleet, Tier::Paying)?.model.clone();
        let tasks = (0..self.args.streams).map(|position| {
            let body = GenerationBody {
                model: model.clone(),
                prompt: self.prompts.next_prompt(),
                max_tokens: TokenCount::new(self.args.max_tokens),
                seed: None,
                adapter: None,
            };
            let progress = Arc::clone(progress);
            let client = match method {
                RecoveryMethod::Paced => self.paced.clone(),
                RecoveryMethod::FixedTimeout => self.fixed.clone(),
                RecoveryMethod::Restart => {
                    let engines = self.engines.clone();
                    return tokio::spawn(run_restart(engines, position, body, progress));
                }
            };
            tokio::spawn(run_resuming(client, position, body, progress))
        });
        Ok(tasks.collect())
    }

    async fn counts(&self) -> Result<BTreeMap<EndpointId, EngineCounts>> {
        let reads = self.engines.iter().map(|engine| async {
            let counts = self.control.engine_counts(engine.control).await?;
            Ok((engine.id.clone(), counts))
        });
        join_all(reads).await.into_iter().collect()
    }

    /// Engine that opened most of the trial's streams.
    fn busiest_engine(
        &self,
        before: &BTreeMap<EndpointId, EngineCounts>,
        now: &BTreeMap<EndpointId, EngineCounts>,
    ) -> Result<FleetEngine> {
        let opened = |engine: &&FleetEngine| {
            now[&engine.id].streams_opened - before[&engine.id].streams_opened
        };
        let busiest = self.engines.iter().max_by_key(opened);
        busiest.cloned().ok_or_else(|| eyre!("no engines left"))
    }

    async fn fail_engine(&self, engine: &FleetEngine, mode: FailureMode) -> Result<()> {
        match mode {
            FailureMode::Kill => send_signal(engine.pid, Signal::Kill),
            FailureMode::Freeze => send_signal(engine.pid, Signal::Stop),
            FailureMode::Cut => {
                self.control
                    .inject_fault(engine.control, EngineFault::Cut)
                    .await
            }
        }
    }

    async fn restore_engine(&self, engine: &FleetEngine, mode: FailureMode) -> Result<()> {
        match mode {
            FailureMode::Kill => Ok(()),
            FailureMode::Freeze => send_signal(engine.pid, Signal::Cont),
            FailureMode::Cut => {
                self.control
                    .inject_fault(engine.control, EngineFault::None)
                    .await
            }
        }
    }
}

impl FailoverStats {
    fn add(&mut self, results: &[StreamResult], generated: u64) {
        self.generated += generated;
        for result in results {
            self.delivered += result.timing.arrivals.len() as u64;
            if result.lost_engine {
                self.interrupted += 1;
                if let Some(longest) = result.timing.gaps().max() {
                    self.resume_latencies.record(longest);
                }
            }
        }
    }
}

fn generated(counts: &BTreeMap<EndpointId, EngineCounts>) -> u64 {
    counts.values().map(|counts| counts.generated_tokens).sum()
}

/// Tokens generated up to `before` by the engines in `after`.
fn generated_before(
    before: &BTreeMap<EndpointId, EngineCounts>,
    after: &BTreeMap<EndpointId, EngineCounts>,
) -> u64 {
    let known = after.keys().filter_map(|engine| before.get(engine));
    known.map(|counts| counts.generated_tokens).sum()
}

async fn run_resuming(
    client: GenerationClient,
    node: usize,
    body: GenerationBody,
    progress: Arc<watch::Sender<usize>>,
) -> Result<StreamResult> {
    let mut arrived = 0;
    let outcome = client
        .run_observed(node, RequestId::generate(), &body, |_| {
            arrived += 1;
            progress.send_if_modified(|max_arrived| {
                let is_more = arrived > *max_arrived;
                *max_arrived = (*max_arrived).max(arrived);
                is_more
            });
        })
        .await;
    let done = outcome.done.ok_or_else(|| eyre!("incomplete response"))?;
    Ok(StreamResult {
        timing: outcome.timing,
        lost_engine: done.attempts.get() > 1,
    })
}

async fn run_restart(
    engines: Vec<FleetEngine>,
    position: usize,
    body: GenerationBody,
    progress: Arc<watch::Sender<usize>>,
) -> Result<StreamResult> {
    // Direct streams report no progress, so it is estimated from the usual token interval.
    let token_interval = Duration::from_millis(28);
    let progress_timer = tokio::spawn(async move {
        for arrived in 1.. {
            sleep(token_interval).await;
            if progress.send(arrived).is_err() {
                return;
            }
        }
    });
    let client = EngineClient::new();
    let answer = direct::restart_from_scratch(&client, &engines, position, &body).await;
    progress_timer.abort();
    let answer = answer?;
    Ok(StreamResult {
        timing: answer.timing,
        lost_engine: answer.streams > 1,
    })
}

/// Adds a workspace whose token timeout does not depend on the engines' token rate.
async fn write_fixed_timeout_template(fleet: &Fleet) -> Result<()> {
    let paying = tier_workspace(fleet, Tier::Paying)?;
    let template = serde_json::json!({
        "workspace": "bench-fixed",
        "key_sha256": [KeyDigest::of_key(FIXED_TIMEOUT_KEY)],
        "tier": Tier::Paying,
        "model": paying.model,
        "endpoint_versions": engine_versions(fleet),
        "detection": {
            "token_timeout_factor": 2,
            "token_timeout_min_ms": FIXED_TIMEOUT_MS,
            "first_token_timeout_ms": FIXED_TIMEOUT_MS,
        },
    });
    let store = StoreClient::new(fleet.store.address);
    let written = store
        .write(
            "templates/bench-fixed",
            template.to_string(),
            Condition::Absent,
            None,
        )
        .await?;
    ensure!(
        written.reply.written,
        "store rejected the template: key `templates/bench-fixed` already exists"
    );
    // Nodes apply the template within seconds and refuse callers of the workspace until then.
    sleep(Duration::from_secs(2)).await;
    Ok(())
}
