//! The `moves` and `events` subcommands.

use argh::FromArgs;
use eyre::Result;
use parsleylatch_http::SseEvent;
use parsleylatch_types::MoveId;

use crate::{api::Api, show};

/// Type prefix of events about version moves.
const MOVE_EVENT_PREFIX: &str = "move_";

/// list version moves, or show one
#[derive(FromArgs)]
#[argh(subcommand, name = "moves")]
pub(crate) struct MovesArgs {
    /// move to show; without it all moves are listed
    #[argh(positional)]
    id: Option<MoveId>,
    /// keep running and print every change
    #[argh(switch)]
    watch: bool,
}

/// print a node's events as they occur
#[derive(FromArgs)]
#[argh(subcommand, name = "events")]
pub(crate) struct EventsArgs {}

/// Prints one or all moves, then follows their events if `--watch` is given.
pub(crate) async fn moves(api: &Api, args: MovesArgs, as_json: bool) -> Result<()> {
    // The stream is opened first so that no change is missed between list and stream.
    let events = match args.watch {
        true => Some(api.events().await?),
        false => None,
    };
    match &args.id {
        Some(id) => show::fields(&api.get(&format!("/admin/v1/moves/{id}")).await?, as_json)?,
        None => show::list(&api.get("/admin/v1/moves").await?, as_json)?,
    }
    let Some(mut events) = events else {
        return Ok(());
    };
    while let Some(event) = events.next().await? {
        let is_selected =
            event.event.starts_with(MOVE_EVENT_PREFIX) && matches_move(&event, &args.id);
        if is_selected || event.event == "missed" {
            print(&event, as_json)?;
        }
    }
    Ok(())
}

/// Prints events until the stream ends.
pub(crate) async fn events(api: &Api, as_json: bool) -> Result<()> {
    let mut events = api.events().await?;
    while let Some(event) = events.next().await? {
        print(&event, as_json)?;
    }
    Ok(())
}

fn matches_move(event: &SseEvent, id: &Option<MoveId>) -> bool {
    let data: Option<serde_json::Value> = serde_json::from_str(&event.data).ok();
    let move_id = data.as_ref().and_then(|data| data["id"].as_str());
    id.as_ref().is_none_or(|id| move_id == Some(id.as_str()))
}

fn print(event: &SseEvent, as_json: bool) -> Result<()> {
    if as_json {
        println!(r#"{{"event":"{}","data":{}}}"#, event.event, event.data);
        return Ok(());
    }
    let data = serde_json::from_str(&event.data)?;
    println!("{}  {}", event.event, show::line(&data));
    Ok(())
}
