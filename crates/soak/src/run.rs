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
    callers::{Caller, Crowd, Phase},
    fleet::Fleet,
    plan::{Targets, breaking, plan},
    process::RelayProgram,
    promises::{Finding, Promise, Tally},
    world::World,
};

/// Endpoints of a run: engines and desks in both failure domains.
const ENDPOINTS: usize = 8;
/// Callers of a run.
const CALLERS: usize = 24;

/// What a run is to be.
#[derive(Clone, Debug)]
pub struct RunOrder {
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
    pub broken: Option<Promise>,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// Broken promises, in the order in which they showed.
    pub findings: Vec<Finding>,
    /// Requests.
    pub tally: Tally,
    /// Faults that struck.
    pub faults: usize,
}

/// Plays a seed.
///
/// # Errors
/// The step that failed, such as a relay that could not be started.
pub fn run(order: &RunOrder) -> Result<RunReport> {
    let clock = Clock::start();
    let targets = Targets {
        relays: order.relays,
        endpoints: ENDPOINTS,
    };
    let (phase, phases) = watch::channel(Phase::Waiting);
    let (newest_version, versions) = watch::channel(1);
    let (sender, world) = oneshot::channel();
    let (seed, broken) = (order.seed, order.broken);
    let traffic = spawn("soak-traffic", move |runtime| {
        runtime.block_on(async {
            let world = World::start(clock, targets, broken).await.map(Arc::new);
            let crowd = world.as_ref().ok().map(|world| Crowd {
                world: Arc::clone(world),
                phase: phases,
                newest_version: versions,
            });
            // A control thread that has ended needs no world.
            let _ = sender.send(world);
            if let Some(crowd) = crowd {
                play_callers(crowd, seed).await;
            }
        });
    })?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let faults = match broken {
        Some(promise) => breaking(promise, targets),
        None => plan(seed, order.load_ms, targets),
    };
    let report = runtime
        .wrap_err("building the control runtime")?
        .block_on(async {
            let world = world.await.wrap_err("starting the deployment")?;
            let world = world.wrap_err("starting the deployment")?;
            let program = RelayProgram {
                file: order.relay_program.clone(),
                directory: order.directory.clone(),
            };
            let mut fleet = Fleet::start(Arc::clone(&world), program, phase, newest_version)?;
            tokio::select! {
                played = fleet.play(&faults, order.load_ms) => played?,
                // The fleet ends its processes when it is dropped.
                signal = shutdown_signal() => {
                    signal.wrap_err("waiting for signals")?;
                    return Err(eyre!("stopped by a signal"));
                }
            }
            fleet.until_closed().await?;
            let promises = world.promises();
            Ok(RunReport {
                findings: promises.findings().to_vec(),
                tally: promises.tally(),
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
async fn play_callers(crowd: Crowd, seed: u64) {
    let mut callers = JoinSet::new();
    for index in 0..CALLERS {
        let random = Pcg64Mcg::seed_from_u64(seed.wrapping_add(index as u64 + 1));
        let caller = Caller::new(crowd.clone(), format!("c{index}"), random);
        callers.spawn(caller.run());
    }
    while callers.join_next().await.is_some() {}
    let mut last = Caller::new(
        crowd.clone(),
        "last".to_owned(),
        Pcg64Mcg::seed_from_u64(seed),
    );
    let world = &crowd.world;
    for relay in 0..world.caller_links.len() {
        if let Err(reason) = last.probe(relay).await {
            let reason = format!("relay {relay}: {reason}");
            let now = world.clock.now();
            world.promises().report(Promise::Recovery, now, reason);
        }
    }
}
