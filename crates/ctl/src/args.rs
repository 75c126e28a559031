//! Command line arguments and the dispatch of subcommands.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use eyre::Result;
use parsleylatch_types::RequestId;

use crate::{
    api::Api,
    chart,
    check::{self, ConfigurationForm},
    events::{self, EventsArgs, MovesArgs},
    explain::Explanation,
    show,
    templates::{self, TemplatesArgs},
};

/// Operate parsleylatch.
#[derive(FromArgs)]
pub struct Args {
    /// administration address of a node; defaults to PARSLEYLATCH_ADMIN
    #[argh(option)]
    admin: Option<SocketAddr>,
    /// administration key; defaults to PARSLEYLATCH_KEY
    #[argh(option)]
    key: Option<String>,
    /// print output as JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(CheckArgs),
    Nodes(NodesArgs),
    Endpoints(EndpointsArgs),
    Counters(CountersArgs),
    Drain(DrainArgs),
    Chart(ChartArgs),
    Calls(CallsArgs),
    Templates(TemplatesArgs),
    Moves(MovesArgs),
    Events(EventsArgs),
    Explain(ExplainArgs),
}

/// validate a node settings, relay settings, template or relay configuration file; exits with 1
/// after warnings and with 2 after errors
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// file to validate
    #[argh(positional)]
    file: PathBuf,
    /// file of the configuration in force, to report the differences
    #[argh(option)]
    against: Option<PathBuf>,
    /// print findings as JSON
    #[argh(switch)]
    json: bool,
}

/// list the nodes that a node knows
#[derive(FromArgs)]
#[argh(subcommand, name = "nodes")]
struct NodesArgs {}

/// list the endpoints that a node knows
#[derive(FromArgs)]
#[argh(subcommand, name = "endpoints")]
struct EndpointsArgs {}

/// show a node's counters
#[derive(FromArgs)]
#[argh(subcommand, name = "counters")]
struct CountersArgs {}

/// stop a node gracefully
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct DrainArgs {}

/// print a state chart as a Mermaid diagram
#[derive(FromArgs)]
#[argh(subcommand, name = "chart")]
struct ChartArgs {
    /// name of the chart; without it the names of all charts are listed
    #[argh(positional)]
    name: Option<String>,
}

/// inspect once-only calls
#[derive(FromArgs)]
#[argh(subcommand, name = "calls")]
struct CallsArgs {
    #[argh(subcommand)]
    command: CallsCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum CallsCommand {
    Show(CallsShowArgs),
}

/// show what the store records about a call
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct CallsShowArgs {
    /// request id
    #[argh(positional)]
    id: RequestId,
}

/// explain the outcome of a relayed request from logs on standard input
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct ExplainArgs {
    /// id that the caller assigned to the request
    #[argh(positional)]
    id: String,
}

/// Runs the command; `forms` are those of configurations that it can check.
///
/// # Errors
/// The failed step and, for API calls, the address of the node.
pub async fn run(args: Args, forms: &[ConfigurationForm]) -> Result<()> {
    let api = || Api::new(args.admin, args.key.clone());
    match args.command {
        Command::Check(command) => run_check(&command, args.json, forms),
        Command::Chart(ChartArgs { name }) => chart::print(name.as_deref()),
        Command::Nodes(_) => show::list(&api()?.get("/admin/v1/nodes").await?, args.json),
        Command::Endpoints(_) => show::list(&api()?.get("/admin/v1/endpoints").await?, args.json),
        Command::Counters(_) => show::fields(&api()?.get("/admin/v1/counters").await?, args.json),
        Command::Calls(CallsArgs {
            command: CallsCommand::Show(CallsShowArgs { id }),
        }) => show::fields(
            &api()?.get(&format!("/admin/v1/calls/{id}")).await?,
            args.json,
        ),
        Command::Templates(subcommand) => templates::run(&api()?, subcommand, args.json).await,
        Command::Moves(subcommand) => events::moves(&api()?, subcommand, args.json).await,
        Command::Events(_) => events::events(&api()?, args.json).await,
        Command::Explain(ExplainArgs { id }) => {
            let explanation = Explanation::read(std::io::stdin().lock(), &id)?;
            print!("{}", explanation.text());
            Ok(())
        }
        Command::Drain(_) => api()?.post("/admin/v1/drain").await.map(|_| ()),
    }
}

/// Prints the findings, errors of a text report to the standard error; exits the process unless
/// the file is clean.
fn run_check(command: &CheckArgs, as_json: bool, forms: &[ConfigurationForm]) -> Result<()> {
    let report = check::check_file(&command.file, command.against.as_deref(), forms);
    let status = report.exit_status();
    if as_json || command.json {
        println!("{}", serde_json::to_string_pretty(&report.json())?);
    } else if status < 2 {
        print!("{}", report.text());
    } else {
        eprint!("{}", report.text());
    }
    if status != 0 {
        std::process::exit(status);
    }
    Ok(())
}
