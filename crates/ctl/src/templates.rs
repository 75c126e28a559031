//! The `templates` subcommand: list, get, put a draft and accept it.

use std::path::PathBuf;

use argh::FromArgs;
use bytes::Bytes;
use eyre::{Result, eyre};
use http::Method;
use parsleylatch_http::Reply;
use parsleylatch_settings::{Document, Template};
use parsleylatch_types::{Revision, WorkspaceId};
use serde_json::Value;

use crate::{api::Api, show};

/// list, read and change templates
#[derive(FromArgs)]
#[argh(subcommand, name = "templates")]
pub(crate) struct TemplatesArgs {
    #[argh(subcommand)]
    command: TemplatesCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum TemplatesCommand {
    List(ListArgs),
    Get(GetArgs),
    Put(PutArgs),
    Accept(AcceptArgs),
}

/// list the templates in force on a node
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

/// print the template in force on a node
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct GetArgs {
    /// workspace
    #[argh(positional)]
    workspace: WorkspaceId,
}

/// check a template and store it as a draft
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
struct PutArgs {
    /// file with the template
    #[argh(positional)]
    file: PathBuf,
    /// accepted revision that the file was made from
    #[argh(option)]
    etag: Option<Revision>,
}

/// put a draft in force
#[derive(FromArgs)]
#[argh(subcommand, name = "accept")]
struct AcceptArgs {
    /// workspace
    #[argh(positional)]
    workspace: WorkspaceId,
    /// revision of the draft, as `put` printed it
    #[argh(option)]
    etag: Revision,
}

/// Runs a `templates` subcommand.
pub(crate) async fn run(api: &Api, args: TemplatesArgs, as_json: bool) -> Result<()> {
    match args.command {
        TemplatesCommand::List(_) => show::list(&api.get("/admin/v1/templates").await?, as_json),
        TemplatesCommand::Get(GetArgs { workspace }) => get(api, &workspace).await,
        TemplatesCommand::Put(PutArgs { file, etag }) => {
            let document = Document::open(&file)?;
            let template = Template::read(&document)?;
            let body = Bytes::copy_from_slice(document.text().as_bytes());
            let path = template_path(&template.workspace);
            send_change(api, Method::PUT, &path, body, etag, as_json).await
        }
        TemplatesCommand::Accept(AcceptArgs { workspace, etag }) => {
            let path = format!("{}/accept", template_path(&workspace));
            send_change(api, Method::POST, &path, Bytes::new(), Some(etag), as_json).await
        }
    }
}

fn template_path(workspace: &WorkspaceId) -> String {
    format!("/admin/v1/templates/{workspace}")
}

/// Prints the template to stdout and its revision to stderr.
async fn get(api: &Api, workspace: &WorkspaceId) -> Result<()> {
    let path = template_path(workspace);
    let reply = api.call(Method::GET, &path, Bytes::new(), &[]).await?;
    eprintln!("etag {}", etag_of(&reply)?);
    let template: Value = reply.json(api.address())?;
    println!("{}", serde_json::to_string_pretty(&template)?);
    Ok(())
}

async fn send_change(
    api: &Api,
    method: Method,
    path: &str,
    body: Bytes,
    etag: Option<Revision>,
    as_json: bool,
) -> Result<()> {
    let tag = etag.map(|revision| format!("\"{revision}\""));
    let headers: Vec<(&str, &str)> = tag.iter().map(|tag| ("if-match", tag.as_str())).collect();
    let reply = api.call(method, path, body, &headers).await?;
    show::fields(&reply.json(api.address())?, as_json)
}

fn etag_of(reply: &Reply) -> Result<Revision> {
    let header = reply.headers.get("etag").and_then(|tag| tag.to_str().ok());
    let tag = header.ok_or_else(|| eyre!("the response has no ETag header"))?;
    Ok(tag.trim_matches('"').parse()?)
}
