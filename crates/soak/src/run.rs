//! Run of one seed. A traffic thread runs the store, endpoints, links and callers; the thread
//! that calls [`run`] is the control thread.

use std::{iter, path::PathBuf, sync::Arc};

use eyre::{Result, WrapErr, eyre};
use parsleylatch_http::shutdown_signal;
use parsleylatch_runtime::{Clock, spawn};
use parsleylatch_types::Millis;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::{
    runtime::Builder,
    sync::{oneshot, watch},
    task::JoinSet,
};

use crate::{
    callers::{Caller, CallerContext, FRESH, Phase, RESTING, STEADY},
    controller::Controller,
    environment::Environment,
    invariants::{Invariant, Violation},
    limits_plan::draw_resources,
    observations::Tally,
    plan::{Profile, Targets, breaking_faults, plan},
    process::{RelayProgram, RetryBudget},
    silent_caller::run_silent_caller,
};

const ENDPOINTS: usize = 8;
const CALLERS: usize = 24;
/// Callers of the silence profile, whose long streams keep many of them waiting.
const SILENCE_CALLERS: usize = 72;
/// Callers of the limits profile, besides [`CALLERS`].
const RESTING_CALLERS: usize = 750;
const FRESH_CALLERS: usize = 16;
const SILENT_CALLERS: usize = 60;
const RETRY_BUDGET: RetryBudget = RetryBudget {
    ratio: 0.8,
    slack: 150,
};
/// Retry budget of the odd seeds of the silence profile, which is soon used up.
const SMALL_RETRY_BUDGET: RetryBudget = RetryBudget {
    ratio: 0.02,
    slack: 0,
};

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct RunSpec {
    /// Selection of faults.
    pub profile: Profile,
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Duration of the load with faults.
    pub load_ms: Millis,
    /// Number of relay processes.
    pub relays: usize,
    /// Relay binary.
    pub relay_program: PathBuf,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// Invariant that the deployment violates on purpose.
    pub broken_invariant: Option<Invariant>,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// Violations in order of detection.
    pub violations: Vec<Violation>,
    /// What the control thread did and saw, one line each.
    pub events: Vec<String>,
    /// Counts of requests by outcome.
    pub tally: Tally,
    /// Number of faults in the plan.
    pub faults: usize,
}

/// Runs a seed.
///
/// # Errors
/// The deployment or a relay can't be started, or a signal stopped the run.
pub fn run(spec: &RunSpec) -> Result<RunReport> {
    let clock = Clock::start();
    let targets = Targets {
        relays: spec.relays,
        endpoints: ENDPOINTS,
    };
    let (phase, phase_receiver) = watch::channel(Phase::Waiting);
    let (newest_version, version_receiver) = watch::channel(1);
    let (sender, environment) = oneshot::channel();
    let (seed, profile, broken_invariant) = (spec.seed, spec.profile, spec.broken_invariant);
    let traffic = spawn("soak-traffic", move |runtime| {
        runtime.block_on(async {
            let environment = Environment::start(clock, targets, profile, broken_invariant)
                .await
                .map(Arc::new);
            let context = environment.as_ref().ok().map(|environment| CallerContext {
                environment: Arc::clone(environment),
                profile,
                phase: phase_receiver,
                newest_version: version_receiver,
            });
            // The control thread may have ended.
            let _ = sender.send(environment);
            if let Some(context) = context {
                run_callers(context, seed).await;
            }
        });
    })?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let faults = match broken_invariant {
        Some(invariant) => breaking_faults(invariant, targets),
        None => plan(profile, seed, spec.load_ms, targets),
    };
    let report = runtime
        .wrap_err("building the control runtime")?
        .block_on(async {
            let environment = environment.await.wrap_err("starting the deployment")?;
            let environment = environment.wrap_err("starting the deployment")?;
            let program = RelayProgram {
                file: spec.relay_program.clone(),
                directory: spec.directory.clone(),
                retry_budget: match profile {
                    Profile::Silence if !seed.is_multiple_of(2) => SMALL_RETRY_BUDGET,
                    _ => RETRY_BUDGET,
                },
                resources: match profile {
                    Profile::Limits => draw_resources(seed, spec.relays),
                    _ => Vec::new(),
                },
            };
            let mut controller =
                Controller::start(Arc::clone(&environment), program, phase, newest_version)?;
            let complete_run = async {
                controller.run_plan(&faults, spec.load_ms).await?;
                controller.run_until_callers_finish().await
            };
            tokio::select! {
                result = complete_run => result?,
                // Dropping the controller kills the relay processes.
                signal = shutdown_signal() => {
                    signal.wrap_err("waiting for signals")?;
                    return Err(eyre!("stopped by a signal"));
                }
            }
            let mut checker = environment.checker();
            Ok(RunReport {
                violations: checker.finish(),
                events: checker.event_log.lines(),
                tally: checker.tally(),
                faults: faults.len(),
            })
        });
    // After an error the traffic thread isn't joined: its callers may run until this process
    // exits.
    let report = report?;
    traffic
        .join()
        .map_err(|_| eyre!("the traffic thread panicked"))?;
    Ok(report)
}

/// Runs the callers until the load ends, then probes each relay once.
async fn run_callers(context: CallerContext, seed: u64) {
    let mut callers = JoinSet::new();
    let habits = match context.profile {
        Profile::Mixed => vec![(STEADY, CALLERS)],
        Profile::Silence => vec![(STEADY, SILENCE_CALLERS)],
        Profile::Limits => vec![
            (STEADY, CALLERS),
            (RESTING, RESTING_CALLERS),
            (FRESH, FRESH_CALLERS),
        ],
    };
    let habits = habits
        .into_iter()
        .flat_map(|(habit, count)| iter::repeat_n(habit, count));
    let random = |index: usize| Pcg64Mcg::seed_from_u64(seed.wrapping_add(index as u64 + 1));
    let mut count = 0;
    for (index, habit) in habits.enumerate() {
        let caller = Caller::new(context.clone(), habit, format!("c{index}"), random(index));
        callers.spawn(caller.run());
        count = index + 1;
    }
    if context.profile == Profile::Limits {
        for index in count..count + SILENT_CALLERS {
            callers.spawn(run_silent_caller(context.clone(), random(index)));
        }
    }
    while callers.join_next().await.is_some() {}
    let mut prober = Caller::new(
        context.clone(),
        STEADY,
        "last".to_owned(),
        Pcg64Mcg::seed_from_u64(seed),
    );
    let environment = &context.environment;
    for relay in 0..environment.caller_links.len() {
        if let Err(reason) = prober.probe(relay).await {
            let reason = format!("relay {relay}: {reason}");
            let now = environment.clock.now();
            environment
                .checker()
                .report(Invariant::Recovery, now, reason);
        }
    }
}
