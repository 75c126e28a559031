//! One run of a seed: a thread for the deployment and its callers, and the
//! caller's thread for control.

use std::{path::PathBuf, sync::Arc};

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
    callers::{Caller, CallerContext, Phase},
    controller::Controller,
    environment::Environment,
    invariants::{Invariant, Tally, Violation},
    plan::{Targets, breaking_faults, plan},
    process::RelayProgram,
};

/// Endpoints of a run: engines and desks in both failure domains.
const ENDPOINTS: usize = 8;
/// Callers of a run.
const CALLERS: usize = 24;

/// What a run is to be.
#[derive(Clone, Debug)]
pub struct RunSpec {
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Time for which faults strike.
    pub load_ms: Millis,
    /// Relays, each a process.
    pub relays: usize,
    /// Program of the relays.
    pub relay_program: PathBuf,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// Promise that is broken on purpose.
    pub broken_invariant: Option<Invariant>,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// Broken promises, in the order in which they showed.
    pub violations: Vec<Violation>,
    /// Requests.
    pub tally: Tally,
    /// Faults that struck.
    pub faults: usize,
}

/// Plays a seed.
///
/// # Errors
/// The step that failed, such as a relay that could not be started.
pub fn run(spec: &RunSpec) -> Result<RunReport> {
    let clock = Clock::start();
    let targets = Targets {
        relays: spec.relays,
        endpoints: ENDPOINTS,
    };
    let (phase, phase_receiver) = watch::channel(Phase::Waiting);
    let (newest_version, version_receiver) = watch::channel(1);
    let (sender, environment) = oneshot::channel();
    let (seed, broken_invariant) = (spec.seed, spec.broken_invariant);
    let traffic = spawn("soak-traffic", move |runtime| {
        runtime.block_on(async {
            let environment = Environment::start(clock, targets, broken_invariant)
                .await
                .map(Arc::new);
            let context = environment.as_ref().ok().map(|environment| CallerContext {
                environment: Arc::clone(environment),
                phase: phase_receiver,
                newest_version: version_receiver,
            });
            // A control thread that has ended needs no world.
            let _ = sender.send(environment);
            if let Some(context) = context {
                run_callers(context, seed).await;
            }
        });
    })?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let faults = match broken_invariant {
        Some(invariant) => breaking_faults(invariant, targets),
        None => plan(seed, spec.load_ms, targets),
    };
    let report = runtime
        .wrap_err("building the control runtime")?
        .block_on(async {
            let environment = environment.await.wrap_err("starting the deployment")?;
            let environment = environment.wrap_err("starting the deployment")?;
            let program = RelayProgram {
                file: spec.relay_program.clone(),
                directory: spec.directory.clone(),
            };
            let mut controller =
                Controller::start(Arc::clone(&environment), program, phase, newest_version)?;
            tokio::select! {
                result = controller.run_plan(&faults, spec.load_ms) => result?,
                // The fleet ends its processes when it is dropped.
                signal = shutdown_signal() => {
                    signal.wrap_err("waiting for signals")?;
                    return Err(eyre!("stopped by a signal"));
                }
            }
            controller.run_until_callers_finish().await?;
            let checker = environment.checker();
            Ok(RunReport {
                violations: checker.violations().to_vec(),
                tally: checker.tally(),
                faults: faults.len(),
            })
        });
    // Callers of a run that ended early go on until the process ends.
    let report = report?;
    traffic
        .join()
        .map_err(|_| eyre!("the traffic thread panicked"))?;
    Ok(report)
}

/// Callers for the whole load, and afterwards one that asks each relay.
async fn run_callers(context: CallerContext, seed: u64) {
    let mut callers = JoinSet::new();
    for index in 0..CALLERS {
        let random = Pcg64Mcg::seed_from_u64(seed.wrapping_add(index as u64 + 1));
        let caller = Caller::new(context.clone(), format!("c{index}"), random);
        callers.spawn(caller.run());
    }
    while callers.join_next().await.is_some() {}
    let mut prober = Caller::new(
        context.clone(),
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
