//! Status of version moves.

use parsleylatch_settings::Role;
use parsleylatch_types::MoveId;
use viz::{Request, RequestExt, Response, Result};

use super::{authorize, json, problem::AdminRefusal};
use crate::control::events::describe_move;

/// `GET /admin/v1/moves`.
pub(super) async fn list(request: Request) -> Result<Response> {
    let authorized = authorize(&request, Role::Read)?;
    let snapshot = authorized.shared().snapshot.load();
    json(&snapshot.moves.iter().map(describe_move).collect::<Vec<_>>())
}

/// `GET /admin/v1/moves/{id}`.
pub(super) async fn show(request: Request) -> Result<Response> {
    let authorized = authorize(&request, Role::Read)?;
    let requested: String = request.param("move")?;
    let id = requested.parse::<MoveId>().ok();
    let snapshot = authorized.shared().snapshot.load();
    let mut moves = snapshot.moves.iter();
    match moves.find(|view| Some(&view.plan.id) == id.as_ref()) {
        Some(view) => json(&describe_move(view)),
        None => AdminRefusal::NotFound(format!("no move {requested}")).response(),
    }
}
