//! Load generator that checks every response.

use std::{path::PathBuf, sync::Arc, time::Duration};

use argh::FromArgs;
use eyre::{Result, bail, ensure, eyre};
use futures::future::join_all;
use parsleylatch_settings::Tier;
use parsleylatch_types::{RequestId, RequestsPerSecond, TokenCount};
use parsleylatch_wire::caller::GenerationBody;
use tokio::time::Instant;

use crate::{
    caller::Caller,
    check::{self, BackEndCounts, CheckSummary},
    control::Control,
    exchange::{GenerationClient, Outcome},
    fleet::{Fleet, FleetWorkspace},
    history::{self, HistoryEntry, Recorder},
    latencies::Latencies,
    prompts::Prompts,
    report::Report,
};

/// Length of the prefix that prompts share.
const HEAD_BYTES: usize = 512;
/// Length of the unique suffix of a prompt.
const TAIL_BYTES: usize = 128;

/// sends generations to a fleet, checks every response and prints latencies
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct LoadArgs {
    /// fleet file
    #[argh(option)]
    pub(crate) fleet: PathBuf,
    /// concurrent paying callers, each sending one request at a time
    #[argh(option, default = "20")]
    pub(crate) paying: usize,
    /// concurrent free callers, each sending one request at a time
    #[argh(option, default = "0")]
    pub(crate) free: usize,
    /// paying requests per second, independent of response times
    #[argh(option, default = "RequestsPerSecond::ZERO", from_str_fn(parse_rate))]
    pub(crate) paying_rate: RequestsPerSecond,
    /// free requests per second, independent of response times
    #[argh(option, default = "RequestsPerSecond::ZERO", from_str_fn(parse_rate))]
    pub(crate) free_rate: RequestsPerSecond,
    /// seconds for which requests are sent
    #[argh(option, default = "10")]
    pub(crate) duration_s: u64,
    /// tokens in each response
    #[argh(option, default = "60")]
    pub(crate) max_tokens: u32,
    /// number of shared prompt prefixes
    #[argh(option, default = "16")]
    pub(crate) heads: usize,
    /// seed of the prompts
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// output file for the history
    #[argh(option)]
    pub(crate) history: Option<PathBuf>,
}

fn parse_rate(text: &str) -> Result<RequestsPerSecond, String> {
    text.parse::<u64>()
        .map(RequestsPerSecond::new)
        .map_err(|error| error.to_string())
}

/// Arrival process of one tier's requests.
#[derive(Clone, Copy, Debug)]
enum LoadModel {
    /// This many callers, each sending its next request after the previous response.
    ClosedLoop(usize),
    /// Requests at a fixed rate, independent of response times.
    OpenLoop(RequestsPerSecond),
}

/// Load of one tier.
struct TierLoad {
    name: &'static str,
    client: GenerationClient,
    prompts: Prompts,
    template: GenerationBody,
    load_model: LoadModel,
    until: Instant,
}

impl TierLoad {
    fn next_body(&mut self) -> GenerationBody {
        GenerationBody {
            prompt: self.prompts.next_prompt(),
            ..self.template.clone()
        }
    }

    async fn run(self) -> (&'static str, Vec<Outcome>) {
        let name = self.name;
        let outcomes = match self.load_model {
            LoadModel::ClosedLoop(callers) => self.run_callers(callers).await,
            LoadModel::OpenLoop(rate) => self.run_rate(rate).await,
        };
        (name, outcomes)
    }

    async fn run_callers(self, callers: usize) -> Vec<Outcome> {
        let Self {
            client,
            prompts,
            template,
            until,
            ..
        } = self;
        let prompts = std::sync::Mutex::new(prompts);
        let caller_loop = async |caller: usize| {
            let mut outcomes = Vec::new();
            while Instant::now() < until {
                let prompt = prompts.lock().expect("no caller panics").next_prompt();
                let body = GenerationBody {
                    prompt,
                    ..template.clone()
                };
                let id = RequestId::generate();
                outcomes.push(client.run(caller, id, &body).await);
            }
            outcomes
        };
        let outcomes = join_all((0..callers).map(caller_loop)).await;
        outcomes.into_iter().flatten().collect()
    }

    async fn run_rate(mut self, rate: RequestsPerSecond) -> Vec<Outcome> {
        let interval = Duration::from_secs_f64(1.0 / rate.get().max(1) as f64);
        let mut tasks = Vec::new();
        let mut due = Instant::now();
        while due < self.until {
            tokio::time::sleep_until(due).await;
            let body = self.next_body();
            let client = self.client.clone();
            let node = tasks.len();
            tasks.push(tokio::spawn(async move {
                client.run(node, RequestId::generate(), &body).await
            }));
            due += interval;
        }
        let outcomes = join_all(tasks).await;
        outcomes.into_iter().filter_map(Result::ok).collect()
    }
}

/// Runs the load and reports the measurements.
///
/// # Errors
/// The first violation, or the reason why the run failed.
pub(crate) async fn run(args: LoadArgs, report: &mut Report) -> Result<()> {
    let fleet = Fleet::read(&args.fleet)?;
    let control = Control::new(&fleet.admin_key);
    let opened_before = streams_opened(&fleet, &control).await;
    let recorder = Arc::new(Recorder::new());
    let until = Instant::now() + Duration::from_secs(args.duration_s);
    let load_options = [
        (Tier::Paying, args.paying, args.paying_rate),
        (Tier::Free, args.free, args.free_rate),
    ];
    let mut tier_loads = Vec::new();
    for (tier, callers, rate) in load_options {
        let load_model = match rate {
            RequestsPerSecond::ZERO if callers == 0 => continue,
            RequestsPerSecond::ZERO => LoadModel::ClosedLoop(callers),
            rate => LoadModel::OpenLoop(rate),
        };
        let load = tier_load(&fleet, tier, load_model, &args, (&recorder, until))?;
        tier_loads.push(load);
    }
    for (name, outcomes) in join_all(tier_loads.into_iter().map(TierLoad::run)).await {
        report_tier(report, name, &outcomes);
    }
    let opened_after = streams_opened(&fleet, &control).await;
    let counts = BackEndCounts {
        versions: engine_versions(&fleet),
        streams_opened: opened_after
            .zip(opened_before)
            .map(|(after, before)| after - before),
        runs: Default::default(),
    };
    check_and_save(
        &recorder.entries(),
        &counts,
        args.history.as_deref(),
        report,
    )
}

fn tier_load(
    fleet: &Fleet,
    tier: Tier,
    load_model: LoadModel,
    args: &LoadArgs,
    (recorder, until): (&Arc<Recorder>, Instant),
) -> Result<TierLoad> {
    let workspace = tier_workspace(fleet, tier)?;
    Ok(TierLoad {
        name: match tier {
            Tier::Paying => "paying",
            Tier::Free => "free",
        },
        client: GenerationClient::new(
            node_callers(fleet, workspace),
            workspace.id.clone(),
            Arc::clone(recorder),
        ),
        prompts: Prompts::new(args.seed + tier as u64, args.heads, HEAD_BYTES, TAIL_BYTES),
        template: GenerationBody {
            model: workspace.model.clone(),
            prompt: String::new(),
            max_tokens: TokenCount::new(args.max_tokens),
            seed: None,
            adapter: None,
        },
        load_model,
        until,
    })
}

/// First workspace of a tier.
pub(crate) fn tier_workspace(fleet: &Fleet, tier: Tier) -> Result<&FleetWorkspace> {
    let found = fleet
        .workspaces
        .iter()
        .find(|workspace| workspace.tier == tier);
    found.ok_or_else(|| eyre!("the fleet has no {tier} workspace"))
}

/// A caller of the workspace for each node.
pub(crate) fn node_callers(fleet: &Fleet, workspace: &FleetWorkspace) -> Vec<Caller> {
    let callers = fleet
        .nodes
        .iter()
        .map(|node| Caller::new(node.caller, &workspace.key));
    callers.collect()
}

pub(crate) fn engine_versions(fleet: &Fleet) -> Vec<parsleylatch_types::EndpointVersion> {
    let mut versions: Vec<_> = fleet
        .engines
        .iter()
        .map(|engine| engine.endpoint_version.clone())
        .collect();
    versions.sort();
    versions.dedup();
    versions
}

async fn streams_opened(fleet: &Fleet, control: &Control) -> Option<u64> {
    let mut opened = 0;
    for engine in &fleet.engines {
        opened += control
            .engine_counts(engine.control)
            .await
            .ok()?
            .streams_opened;
    }
    Some(opened)
}

fn report_tier(report: &mut Report, name: &str, outcomes: &[Outcome]) {
    let (mut first_token, mut between_tokens) = (Latencies::new(), Latencies::new());
    for outcome in outcomes {
        if let Some(latency) = outcome.timing.first_token() {
            first_token.record(latency);
        }
        outcome
            .timing
            .gaps()
            .for_each(|gap| between_tokens.record(gap));
    }
    report.add_latencies("first_token", name, &first_token);
    report.add_latencies("between_tokens", name, &between_tokens);
}

/// Writes a history if `file` is given, checks it, and fails on a violation.
fn check_and_save(
    entries: &[HistoryEntry],
    counts: &BackEndCounts,
    file: Option<&std::path::Path>,
    report: &mut Report,
) -> Result<()> {
    if let Some(file) = file {
        history::write(file, entries)?;
    }
    let summary = check::check(entries, counts);
    report_check_summary(report, &summary);
    ensure!(summary.requests > 0, "no requests were sent");
    if let Some(first) = summary.violations.first() {
        for violation in &summary.violations {
            eprintln!("violation: {violation}");
        }
        bail!(
            "{} violations, the first: {first}",
            summary.violations.len()
        );
    }
    Ok(())
}

pub(crate) fn report_check_summary(report: &mut Report, summary: &CheckSummary) {
    let counts = [
        ("requests", summary.requests),
        ("done", summary.done),
        ("refused_not_run", summary.refused),
        ("resumed", summary.resumed),
        ("tokens", summary.tokens),
        ("attempts", summary.attempts),
        ("violations", summary.violations.len() as u64),
    ];
    for (name, count) in counts {
        report.add(name, "history", count as f64, "");
    }
}
