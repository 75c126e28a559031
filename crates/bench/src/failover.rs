//! Resume latency after the loss of an engine, beside named baselines.
//!
//! Each trial runs a group of generations, breaks the engine that carries most
//! of them midway, and looks at the longest time between two tokens of those
//! that lost their engine. The mechanisms take turns in one fleet.

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

/// Key of the workspace whose timeout does not follow the pace.
const FIXED_KEY: &str = "bench-fixed-key";
/// Timeout of that workspace.
const FIXED_TIMEOUT_MS: u64 = 2_000;
/// Time after a trial in which late tokens are still counted.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Longest time of a trial.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(40);
/// Engines beyond those that trials kill.
const SPARE_ENGINES: usize = 4;

/// measures resume latency after engine losses, beside baselines
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "resume")]
pub(crate) struct ResumeArgs {
    /// script that starts a fleet
    #[argh(option, default = "PathBuf::from(\"scripts/local-fleet\")")]
    pub(crate) script: PathBuf,
    /// nodes of the fleet
    #[argh(option, default = "3")]
    pub(crate) nodes: usize,
    /// trials in which a node is killed; they come last
    #[argh(option, default = "3")]
    pub(crate) node_trials: usize,
    /// trials of each break and mechanism
    #[argh(option, default = "4")]
    pub(crate) trials: usize,
    /// generations of a trial
    #[argh(option, default = "12")]
    pub(crate) streams: usize,
    /// tokens of a generation
    #[argh(option, default = "60")]
    pub(crate) max_tokens: u32,
    /// tokens after which the engine is broken
    #[argh(option, default = "25")]
    pub(crate) break_after: usize,
}

/// How an engine is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
enum Break {
    /// The process is killed.
    Kill,
    /// The process is frozen.
    Freeze,
    /// Its streams break off.
    Cut,
}

/// What answers a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
enum Mechanism {
    /// The system, with timeouts from the engines' pace.
    Paced,
    /// The system, with one long timeout.
    FixedTimeout,
    /// A client that starts over, without a node.
    Restart,
}

/// Sums of one break and mechanism.
#[derive(Default)]
struct Tally {
    resumes: Latencies,
    broken: u64,
    generated: u64,
    delivered: u64,
}

/// One generation of a trial as it ended.
struct Ended {
    timing: Timing,
    lost_engine: bool,
}

struct Trials {
    args: ResumeArgs,
    fleet: Fleet,
    control: Control,
    engines: Vec<FleetEngine>,
    paced: GenerationClient,
    fixed: GenerationClient,
    prompts: Prompts,
}

/// Runs all trials and prints what was measured.
///
/// # Errors
/// The first broken promise, or the reason for which a trial failed.
pub(crate) async fn run(args: ResumeArgs, report: &mut Report) -> Result<()> {
    let kills = args.trials * Mechanism::iter().count();
    let shape = FleetShape {
        nodes: args.nodes + 2 * args.node_trials,
        engines: kills + SPARE_ENGINES,
        options: Vec::new(),
    };
    let launched = LaunchedFleet::start(&args.script, &shape).await?;
    let fleet = launched.fleet.clone();
    put_fixed_template(&fleet).await?;
    let recorder = Arc::new(Recorder::new());
    let mut trials = Trials::new(args.clone(), fleet, &recorder)?;
    let mut tallies = BTreeMap::<String, Tally>::new();
    // Kills go last, since they leave fewer engines.
    for way in [Break::Cut, Break::Freeze, Break::Kill] {
        for _ in 0..args.trials {
            for mechanism in Mechanism::iter() {
                let tally = tallies.entry(format!("{way} {mechanism}")).or_default();
                trials.run_one(way, mechanism, tally).await?;
            }
        }
    }
    for (case, tally) in &tallies {
        tally.report(report, case);
    }
    trials.lose_nodes(report).await?;
    let counts = BackEndCounts {
        versions: engine_versions(&trials.fleet),
        ..BackEndCounts::default()
    };
    let verdict = check::check(&recorder.entries(), &counts);
    report_check_summary(report, &verdict);
    match verdict.violations.first() {
        Some(first) => bail!(
            "{} violations, the first: {first}",
            verdict.violations.len()
        ),
        None => Ok(()),
    }
}

impl Tally {
    fn report(&self, report: &mut Report, case: &str) {
        report.add_latencies("resume", case, &self.resumes);
        let ratio = self.generated as f64 / self.delivered.max(1) as f64;
        report.add("tokens_generated_by_delivered", case, ratio, "");
        let extra = self.generated.saturating_sub(self.delivered) as f64;
        let extra = extra / self.broken.max(1) as f64;
        report.add("extra_tokens_per_loss", case, extra, "tok");
    }
}

impl Trials {
    fn new(args: ResumeArgs, fleet: Fleet, recorder: &Arc<Recorder>) -> Result<Self> {
        let paying = tier_workspace(&fleet, Tier::Paying)?;
        let exchanges_with = |key: &str| {
            let callers = fleet.nodes.iter().map(|node| Caller::new(node.caller, key));
            GenerationClient::new(callers.collect(), paying.id.clone(), Arc::clone(recorder))
        };
        Ok(Self {
            control: Control::new(&fleet.admin_key),
            engines: fleet.engines.clone(),
            paced: exchanges_with(&paying.key),
            fixed: exchanges_with(FIXED_KEY),
            prompts: Prompts::new(1, 64, 256, 16),
            fleet,
            args,
        })
    }

    /// Kills nodes, one after another.
    async fn lose_nodes(&self, report: &mut Report) -> Result<()> {
        let workspace = tier_workspace(&self.fleet, Tier::Paying)?;
        let callers = node_callers(&self.fleet, workspace);
        let trials = NodeLossTrials {
            exchanges: &self.paced,
            callers: &callers,
            nodes: &self.fleet.nodes,
            template: node_loss::template(&workspace.model, TokenCount::new(self.args.max_tokens)),
            streams: self.args.streams,
        };
        trials.run(self.args.node_trials, report).await
    }

    async fn run_one(&mut self, way: Break, mechanism: Mechanism, tally: &mut Tally) -> Result<()> {
        let before = self.counts().await?;
        let (progress, mut most) = watch::channel(0_usize);
        let running = self.start_streams(mechanism, &Arc::new(progress))?;
        let trial = async {
            let break_after = self.args.break_after;
            most.wait_for(|arrived| *arrived >= break_after).await?;
            let at_break = self.counts().await?;
            let victim = self.busiest(&before, &at_break)?;
            self.break_engine(&victim, way).await?;
            let ended = join_all(running).await;
            let ended: Result<Vec<Ended>> = ended.into_iter().map(|ended| ended?).collect();
            self.mend_engine(&victim, way).await?;
            Ok::<_, eyre::Report>((ended?, at_break, victim))
        };
        let (ended, at_break, victim) = timeout(TRIAL_TIMEOUT, trial).await??;
        sleep(SETTLE_TIME).await;
        if way == Break::Kill {
            self.engines.retain(|engine| engine.id != victim.id);
        }
        let mut after = self.counts().await?;
        if way == Break::Kill {
            after.insert(victim.id.clone(), at_break[&victim.id]);
        }
        tally.add(&ended, generated(&after) - generated_by(&before, &after));
        ensure!(tally.broken > 0, "the broken engine carried no generation");
        Ok(())
    }

    fn start_streams(
        &mut self,
        mechanism: Mechanism,
        progress: &Arc<watch::Sender<usize>>,
    ) -> Result<Vec<tokio::task::JoinHandle<Result<Ended>>>> {
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
            let exchanges = match mechanism {
                Mechanism::Paced => self.paced.clone(),
                Mechanism::FixedTimeout => self.fixed.clone(),
                Mechanism::Restart => {
                    let engines = self.engines.clone();
                    return tokio::spawn(run_restart(engines, position, body, progress));
                }
            };
            tokio::spawn(run_exchange(exchanges, position, body, progress))
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

    /// Engine that carries most of the trial's streams.
    fn busiest(
        &self,
        before: &BTreeMap<EndpointId, EngineCounts>,
        now: &BTreeMap<EndpointId, EngineCounts>,
    ) -> Result<FleetEngine> {
        let opened = |engine: &&FleetEngine| {
            now[&engine.id].streams_opened - before[&engine.id].streams_opened
        };
        let busiest = self.engines.iter().max_by_key(opened);
        busiest.cloned().ok_or_else(|| eyre!("no engine is left"))
    }

    async fn break_engine(&self, engine: &FleetEngine, way: Break) -> Result<()> {
        match way {
            Break::Kill => send_signal(engine.pid, Signal::Kill),
            Break::Freeze => send_signal(engine.pid, Signal::Stop),
            Break::Cut => {
                self.control
                    .inject_fault(engine.control, EngineFault::Cut)
                    .await
            }
        }
    }

    async fn mend_engine(&self, engine: &FleetEngine, way: Break) -> Result<()> {
        match way {
            Break::Kill => Ok(()),
            Break::Freeze => send_signal(engine.pid, Signal::Cont),
            Break::Cut => {
                self.control
                    .inject_fault(engine.control, EngineFault::None)
                    .await
            }
        }
    }
}

impl Tally {
    fn add(&mut self, ended: &[Ended], generated: u64) {
        self.generated += generated;
        for one in ended {
            self.delivered += one.timing.arrivals.len() as u64;
            if one.lost_engine {
                self.broken += 1;
                if let Some(longest) = one.timing.gaps().max() {
                    self.resumes.record(longest);
                }
            }
        }
    }
}

fn generated(counts: &BTreeMap<EndpointId, EngineCounts>) -> u64 {
    counts.values().map(|counts| counts.generated_tokens).sum()
}

/// Tokens that the engines of `after` had generated at `before`.
fn generated_by(
    before: &BTreeMap<EndpointId, EngineCounts>,
    after: &BTreeMap<EndpointId, EngineCounts>,
) -> u64 {
    let known = after.keys().filter_map(|engine| before.get(engine));
    known.map(|counts| counts.generated_tokens).sum()
}

async fn run_exchange(
    exchanges: GenerationClient,
    node: usize,
    body: GenerationBody,
    progress: Arc<watch::Sender<usize>>,
) -> Result<Ended> {
    let mut arrived = 0;
    let outcome = exchanges
        .run_observed(node, RequestId::generate(), &body, |_| {
            arrived += 1;
            progress.send_if_modified(|most| {
                let is_more = arrived > *most;
                *most = (*most).max(arrived);
                is_more
            });
        })
        .await;
    let done = outcome
        .done
        .ok_or_else(|| eyre!("an answer is not whole"))?;
    Ok(Ended {
        timing: outcome.timing,
        lost_engine: done.attempts.get() > 1,
    })
}

async fn run_restart(
    engines: Vec<FleetEngine>,
    position: usize,
    body: GenerationBody,
    progress: Arc<watch::Sender<usize>>,
) -> Result<Ended> {
    // Direct streams have no observer; the break follows the usual pace.
    let pace = Duration::from_millis(28);
    let marker = tokio::spawn(async move {
        for arrived in 1.. {
            sleep(pace).await;
            if progress.send(arrived).is_err() {
                return;
            }
        }
    });
    let client = EngineClient::new();
    let answer = direct::restart_from_scratch(&client, &engines, position, &body).await;
    marker.abort();
    let answer = answer?;
    Ok(Ended {
        timing: answer.timing,
        lost_engine: answer.streams > 1,
    })
}

/// Adds a workspace whose timeout is the same whatever the engines' pace is.
async fn put_fixed_template(fleet: &Fleet) -> Result<()> {
    let paying = tier_workspace(fleet, Tier::Paying)?;
    let template = serde_json::json!({
        "workspace": "bench-fixed",
        "key_sha256": [KeyDigest::of_key(FIXED_KEY)],
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
    ensure!(written.written, "the template was not written");
    // In force within seconds; a caller that comes too soon would be refused.
    sleep(Duration::from_secs(2)).await;
    Ok(())
}
