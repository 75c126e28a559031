//! Command-line interface of the stand-ins.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use eyre::{Result, WrapErr};
use parsleylatch_http::Client;
use parsleylatch_types::{
    EndpointId, EndpointVersion, FailureDomain, Millis, ModelId, Region, RequestsPerSecond,
    ServiceName, StoreEra,
};
use parsleylatch_wire::platform::{VmEntry, VmRole};

use crate::{
    engine::{Engine, EngineSettings},
    serve::ServerHandle,
    service::{Service, ServiceSettings},
    store::{Store, StoreSettings},
    vm_list::{VmList, VmListSettings},
};

/// Timeout of a request to a running stand-in.
const SEND_TIMEOUT_MS: Millis = Millis::new(5_000);

/// Simulated platform components: engine, service, store and VM list.
#[derive(FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Engine(EngineArgs),
    Service(ServiceArgs),
    Store(StoreArgs),
    VmList(VmListArgs),
    Register(RegisterArgs),
    Put(PutArgs),
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// runs a simulated model engine
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to serve the protocol on
    #[argh(option, default = "any_port()")]
    address: SocketAddr,
    /// address to accept fault injection requests on
    #[argh(option, default = "any_port()")]
    control: SocketAddr,
    /// loaded model
    #[argh(option)]
    model: ModelId,
    /// version of the loaded model
    #[argh(option)]
    endpoint_version: EndpointVersion,
    /// time between two tokens, in milliseconds
    #[argh(option, default = "27")]
    pace_ms: u64,
    /// maximum number of concurrent streams
    #[argh(option, default = "64")]
    capacity: usize,
    /// delay of the load report, in milliseconds
    #[argh(option, default = "500")]
    load_lag_ms: u64,
    /// accept deployments regardless of their fencing number
    #[argh(switch)]
    ignore_fencing: bool,
}

/// runs a simulated service
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// address to serve the protocol on
    #[argh(option, default = "any_port()")]
    address: SocketAddr,
    /// address to accept fault injection requests on
    #[argh(option, default = "any_port()")]
    control: SocketAddr,
    /// name of the service
    #[argh(option)]
    service: ServiceName,
}

/// runs a simulated key-value store
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreArgs {
    /// address to serve the protocol on
    #[argh(option, default = "any_port()")]
    address: SocketAddr,
    /// address to accept fault injection requests on
    #[argh(option, default = "any_port()")]
    control: SocketAddr,
    /// maximum writes per second
    #[argh(option, default = "500")]
    write_rate: u64,
    /// maximum reads per second
    #[argh(option, default = "2000")]
    read_rate: u64,
    /// era that all responses state; none by default
    #[argh(option)]
    era: Option<StoreEra>,
}

/// runs a simulated VM list
#[derive(FromArgs)]
#[argh(subcommand, name = "vm-list")]
struct VmListArgs {
    /// address to serve the protocol on
    #[argh(option, default = "any_port()")]
    address: SocketAddr,
    /// address to accept changes of the list on
    #[argh(option, default = "any_port()")]
    control: SocketAddr,
    /// delay until a change becomes visible, in milliseconds
    #[argh(option, default = "200")]
    lag_ms: u64,
}

/// adds a VM to a running VM list
#[derive(FromArgs)]
#[argh(subcommand, name = "register")]
struct RegisterArgs {
    /// control address of the VM list
    #[argh(option)]
    vm_list: SocketAddr,
    /// id of the VM
    #[argh(option)]
    id: EndpointId,
    /// protocol address of the VM
    #[argh(option)]
    address: SocketAddr,
    /// failure domain
    #[argh(option)]
    failure_domain: FailureDomain,
    /// region
    #[argh(option)]
    region: Region,
    /// address for callers, if the VM is a node
    #[argh(option)]
    caller_address: Option<SocketAddr>,
    /// loaded model, if the VM is an engine
    #[argh(option)]
    model: Option<ModelId>,
    /// version of the model, if the VM is an engine
    #[argh(option)]
    endpoint_version: Option<EndpointVersion>,
    /// name of the service, if the VM is a service
    #[argh(option)]
    service: Option<ServiceName>,
    /// mark the VM as leaving
    #[argh(switch)]
    leaving: bool,
}

/// stores the contents of a file under a key of a running store
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
struct PutArgs {
    /// address of the store
    #[argh(option)]
    store: SocketAddr,
    /// key
    #[argh(option)]
    key: String,
    /// file that contains the value
    #[argh(option)]
    file: PathBuf,
}

/// Runs a command; a stand-in runs until the process receives a shutdown signal.
///
/// # Errors
/// Fails with the step that failed, such as binding an address.
pub async fn run(args: Args) -> Result<()> {
    match args.command {
        Command::Engine(args) => {
            let engine = Engine::start(engine_settings(args)).wrap_err("starting the engine")?;
            serve_until_shutdown(engine.server).await
        }
        Command::Service(args) => {
            let ServiceArgs {
                address,
                control,
                service,
            } = args;
            let settings = ServiceSettings {
                address,
                control,
                service,
            };
            let service = Service::start(settings).wrap_err("starting the service")?;
            serve_until_shutdown(service.server).await
        }
        Command::Store(args) => {
            let settings = StoreSettings {
                address: args.address,
                control: args.control,
                write_rate: RequestsPerSecond::new(args.write_rate),
                read_rate: RequestsPerSecond::new(args.read_rate),
                era: args.era,
            };
            serve_until_shutdown(
                Store::start(&settings)
                    .wrap_err("starting the store")?
                    .server,
            )
            .await
        }
        Command::VmList(args) => {
            let VmListArgs {
                address,
                control,
                lag_ms,
            } = args;
            let settings = VmListSettings {
                address,
                control,
                lag_ms: Millis::new(lag_ms),
            };
            serve_until_shutdown(
                VmList::start(&settings)
                    .wrap_err("starting the VM list")?
                    .server,
            )
            .await
        }
        Command::Register(args) => register(args).await,
        Command::Put(args) => put(args).await,
    }
}

fn engine_settings(args: EngineArgs) -> EngineSettings {
    EngineSettings {
        address: args.address,
        control: args.control,
        pace_ms: Millis::new(args.pace_ms),
        capacity: args.capacity,
        load_lag_ms: Millis::new(args.load_lag_ms),
        checks_fencing: !args.ignore_fencing,
        has_own_process: true,
        ..EngineSettings::local(args.model, args.endpoint_version)
    }
}

async fn serve_until_shutdown(server: ServerHandle) -> Result<()> {
    let addresses = server.addresses;
    println!(
        "ready address={} control={}",
        addresses.address, addresses.control
    );
    server
        .wait_for_shutdown()
        .await
        .wrap_err("waiting for a shutdown signal")
}

async fn register(args: RegisterArgs) -> Result<()> {
    let role = match (
        args.caller_address,
        args.model.zip(args.endpoint_version),
        args.service,
    ) {
        (Some(caller_address), None, None) => VmRole::Node { caller_address },
        (None, Some((model, endpoint_version)), None) => VmRole::Engine {
            model,
            endpoint_version,
        },
        (None, None, Some(service)) => VmRole::Service { service },
        _ => eyre::bail!(
            "specify exactly one role: --caller-address, --model with --endpoint-version, or --service"
        ),
    };
    let vm = VmEntry {
        id: args.id,
        address: args.address,
        failure_domain: args.failure_domain,
        region: args.region,
        role,
        leaving: args.leaving,
    };
    let request = http::Request::post("/vms");
    send_request(args.vm_list, request, serde_json::to_vec(&vm)?).await
}

async fn put(args: PutArgs) -> Result<()> {
    let value =
        std::fs::read(&args.file).wrap_err_with(|| format!("reading {}", args.file.display()))?;
    let request = http::Request::put(format!("/v1/kv?key={}", args.key));
    send_request(args.store, request, value).await
}

async fn send_request(
    server_address: SocketAddr,
    request: http::request::Builder,
    body: Vec<u8>,
) -> Result<()> {
    let request = request.header("content-type", "application/json");
    let reply = Client::new()
        .call(
            server_address,
            request,
            body.into(),
            SEND_TIMEOUT_MS.duration(),
        )
        .await?;
    eyre::ensure!(
        reply.status.is_success(),
        "{server_address} returned status {}",
        reply.status
    );
    Ok(())
}
