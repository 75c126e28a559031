//! Measures what messages without end take of a relay: its memory, and the responses to sound
//! calls beside them.
//!
//! Each form has a relay process of its own. Memory is the resident set plus the bytes in the
//! receive queues of the relay's connections, as both count on a small machine.

mod deployment;
mod faulty_load;
mod form;
mod memory;

use std::{fs, net::SocketAddr, path::PathBuf, process::ExitStatus, time::Duration};

use argh::FromArgs;
use bytes::Bytes;
use eyre::{Result, WrapErr, eyre};
use http::StatusCode;
use parsleylatch_http::Client;
use parsleylatch_types::ByteCount;
use strum::VariantArray;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{latencies::Latencies, process::resident_memory, report::Report};

use self::{
    deployment::{Deployment, bind_faulty_endpoints, sound_request},
    faulty_load::{FaultyLoad, FaultySpec},
    form::Form,
    memory::{MemoryPeaks, MemorySampler},
};

/// Pause of a sound caller between two calls.
const SOUND_PAUSE: Duration = Duration::from_millis(20);
const SOUND_CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from the end of the faulty requests to the last reading of the memory.
const RELEASE_PERIOD: Duration = Duration::from_secs(2);
const BYTES_PER_MB: f64 = 1_000_000.0;

/// measures what messages without end take of a relay
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "endless")]
pub(crate) struct EndlessArgs {
    /// directory of the relay program (default: that of this program)
    #[argh(option)]
    pub(crate) programs: Option<PathBuf>,
    /// faulty requests at the same time; repeatable (default: 24)
    #[argh(option)]
    pub(crate) requests: Vec<usize>,
    /// callers of the sound service
    #[argh(option, default = "4")]
    pub(crate) sound_callers: usize,
    /// seconds for which each form is sent
    #[argh(option, default = "5.0")]
    pub(crate) duration_s: f64,
    /// form to measure, such as success-chunked; repeatable (default: all)
    #[argh(option)]
    pub(crate) form: Vec<Form>,
    /// setting `memory_mb` of the relay (default: not set)
    #[argh(option)]
    pub(crate) memory_mb: Option<u64>,
    /// directory for settings and logs
    #[argh(
        option,
        default = "std::env::temp_dir().join(\"parsleylatch-endless\")"
    )]
    pub(crate) directory: PathBuf,
}

/// Responses to the calls of the sound service.
#[derive(Default)]
struct SoundCalls {
    sent: u64,
    answered: u64,
    latencies: Latencies,
}

impl SoundCalls {
    fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.latencies.merge(&other.latencies);
    }
}

/// Result of one form.
struct Measurement {
    sent: u64,
    peaks: MemoryPeaks,
    resident_after: Option<ByteCount>,
    sound: SoundCalls,
    exit_status: Option<ExitStatus>,
}

/// Measures the forms one after the other and prints a row for each.
///
/// # Errors
/// Returns an error if a deployment does not start or can't be observed.
pub(crate) async fn run(args: &EndlessArgs, report: &mut Report) -> Result<()> {
    let forms = match args.form.as_slice() {
        [] => Form::VARIANTS,
        forms => forms,
    };
    let requests = match args.requests.as_slice() {
        [] => &[24],
        requests => requests,
    };
    eprintln!(
        "| form | caller | N | sent | peak MB | of it RSS | unread | RSS after 2 s | sound calls \
         | p50 ms | slowest ms | process |\n|---|---|---|---|---|---|---|---|---|---|---|---|"
    );
    for &requests in requests {
        for &form in forms {
            let callers_read = [true, false];
            let cases = &callers_read[..if form.depends_on_reader() { 2 } else { 1 }];
            for &callers_read in cases {
                let spec = FaultySpec {
                    form,
                    callers_read,
                    requests,
                };
                let measured = measure(args, spec).await;
                let measured = measured.wrap_err_with(|| format!("{form}, {requests} requests"))?;
                print_row(spec, &measured);
                add_figures(report, spec, &measured);
            }
        }
    }
    Ok(())
}

async fn measure(args: &EndlessArgs, spec: FaultySpec) -> Result<Measurement> {
    let programs = match &args.programs {
        Some(directory) => directory.clone(),
        None => {
            let program = std::env::current_exe().wrap_err("locating the relay program")?;
            let directory = program.parent().map(PathBuf::from);
            directory.ok_or_else(|| eyre!("{} has no directory", program.display()))?
        }
    };
    let reader = if spec.callers_read { "read" } else { "unread" };
    let name = format!("{}-{reader}-{}", spec.form, spec.requests);
    let directory = args.directory.join(name);
    fs::create_dir_all(&directory).wrap_err_with(|| format!("creating {}", directory.display()))?;
    let listeners = bind_faulty_endpoints()?;
    let mut deployment =
        Deployment::start(&programs, &directory, args.memory_mb, &listeners).await?;
    let load = FaultyLoad::start(spec, listeners)?;
    let sampler = MemorySampler::start(deployment.pid)?;
    load.send_to(deployment.relay);
    let ends_at = Instant::now() + Duration::from_secs_f64(args.duration_s);
    let sound = tokio::spawn(call_sound(deployment.relay, args.sound_callers, ends_at));
    sleep_until(ends_at).await;
    load.stop_callers();
    let stopped_at = Instant::now();
    let sound = sound.await.wrap_err("calling the sound service")?;
    sleep_until(stopped_at + RELEASE_PERIOD).await;
    let resident = resident_memory(&deployment.pid.to_string());
    let (peaks, sampled) = sampler.finish()?;
    let exit_status = deployment.exit_status()?;
    let resident_after = match exit_status {
        None => {
            sampled?;
            Some(resident?)
        }
        Some(_) => None,
    };
    Ok(Measurement {
        sent: load.finish()?,
        peaks,
        resident_after,
        sound,
        exit_status,
    })
}

/// Calls the sound service until the time is over, each caller on its own connection.
async fn call_sound(relay: SocketAddr, callers: usize, ends_at: Instant) -> SoundCalls {
    let mut tasks = JoinSet::new();
    for index in 0..callers {
        tasks.spawn(async move {
            let client = Client::new();
            let mut calls = SoundCalls::default();
            while Instant::now() < ends_at {
                calls.sent += 1;
                let request = sound_request(&format!("sound-{index}-{}", calls.sent));
                let started_at = Instant::now();
                let reply = client.call(relay, request, Bytes::new(), SOUND_CALL_TIMEOUT);
                let is_answered = reply.await.is_ok_and(|it| it.status == StatusCode::OK);
                calls.answered += u64::from(is_answered);
                calls.latencies.record(started_at.elapsed());
                sleep(SOUND_PAUSE).await;
            }
            calls
        });
    }
    let mut all = SoundCalls::default();
    while let Some(calls) = tasks.join_next().await {
        match calls {
            Ok(calls) => all.merge(&calls),
            Err(error) => eprintln!("a sound caller failed: {error}"),
        }
    }
    all
}

fn megabytes(bytes: ByteCount) -> f64 {
    bytes.get() as f64 / BYTES_PER_MB
}

fn print_row(spec: FaultySpec, measured: &Measurement) {
    let Measurement { peaks, sound, .. } = measured;
    let caller = match (spec.form.depends_on_reader(), spec.callers_read) {
        (false, _) => "-",
        (true, true) => "reads",
        (true, false) => "doesn't read",
    };
    let after = measured.resident_after.map_or_else(
        || "-".to_owned(),
        |resident| format!("{:.1}", megabytes(resident)),
    );
    let process = measured
        .exit_status
        .map_or_else(|| "lives".to_owned(), |status| status.to_string());
    eprintln!(
        "| {} | {caller} | {} | {} | {:.1} | {:.1} | {:.1} | {after} | {}/{} | {:.1} | {:.0} \
         | {process} |",
        spec.form,
        spec.requests,
        measured.sent,
        megabytes(peaks.total),
        megabytes(peaks.resident),
        megabytes(peaks.unread),
        sound.answered,
        sound.sent,
        sound.latencies.percentile_ms(50.0),
        sound.latencies.percentile_ms(100.0),
    );
}

fn add_figures(report: &mut Report, spec: FaultySpec, measured: &Measurement) {
    let reader = if spec.callers_read { "read" } else { "unread" };
    let case = format!("{} {reader} {}", spec.form, spec.requests);
    let sound = &measured.sound;
    report.add("endless_sent", &case, measured.sent as f64, "");
    let peak_mb = megabytes(measured.peaks.total);
    report.add("endless_peak", &case, peak_mb, "MB");
    if let Some(resident) = measured.resident_after {
        report.add("endless_after", &case, megabytes(resident), "MB");
    }
    report.add("endless_sound_sent", &case, sound.sent as f64, "");
    report.add("endless_sound_answered", &case, sound.answered as f64, "");
    report.add_latencies("endless_sound", &case, &sound.latencies);
    let lives = f64::from(u8::from(measured.exit_status.is_none()));
    report.add("endless_process_lives", &case, lives, "");
}
