//! Protocol and control routes of the store.
//!
//! | Call | Effect |
//! |---|---|
//! | `GET /v1/kv?key=K` | reads one key |
//! | `PUT /v1/kv?key=K&expected=R&lease=L` | writes the body; `expected=0` requires that the key is new |
//! | `PUT ...&guard=G&guard_revision=S` | the same, and requires that key G is at revision S |
//! | `DELETE /v1/kv?key=K&expected=R` | deletes a key |
//! | `GET /v1/list?prefix=P` | lists the keys with a prefix |
//! | `GET /v1/watch?prefix=P&after=R&wait_ms=W` | waits for a change after `R` |
//! | `POST /v1/leases`, `PUT` and `DELETE /v1/leases/L` | grants, renews or revokes a lease |
//!
//! If the store has an era, the header `Store-Era` of all responses states it, and a watch from
//! a revision that the store has not issued gets 410. Control: `POST /snapshot` copies the
//! contents, and `POST /restore` goes back to the copy in the next era.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::HeaderValue;
use parsleylatch_types::{Millis, Revision, StoreEra};
use parsleylatch_wire::platform::{LeaseReply, LeaseRequest, ListReply, ReadReply};
use serde::{Deserialize, Serialize};
use viz::{
    BoxHandler, Handler, IntoResponse, Request, RequestExt, RequestLimitsExt, Response, Result,
    Router, StatusCode, types::State,
};

use super::{StoreCounters, StoreState, data::WriteConditions, lock, rate::RateLimiter};
use crate::control::{self, StoreFault};

/// Header that states the era of the store.
const ERA_HEADER: &str = "store-era";
/// Maximum size of a value.
const MAX_VALUE_BYTES: u64 = 1 << 20;
/// Maximum time that a call waits for the end of an outage before it fails.
const OUTAGE_RESPONSE_DELAY: Duration = Duration::from_secs(30);

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
    expected: Option<Revision>,
    lease: Option<u64>,
    guard: Option<String>,
    #[serde(default)]
    guard_revision: Revision,
}

impl KeyQuery {
    fn conditions(&self) -> WriteConditions<'_> {
        WriteConditions {
            expected: self.expected,
            lease_id: self.lease,
            guard: self.guard.as_deref().map(|key| (key, self.guard_revision)),
        }
    }
}

#[derive(Deserialize)]
struct PrefixQuery {
    prefix: String,
    #[serde(default)]
    after: Revision,
    wait_ms: Option<Millis>,
}

pub(super) fn protocol(state: Arc<StoreState>) -> Router {
    let stated = Arc::clone(&state);
    Router::new()
        .get("/v1/kv", read)
        .put("/v1/kv", write)
        .delete("/v1/kv", delete)
        .get("/v1/list", list)
        .get("/v1/watch", watch)
        .post("/v1/leases", grant)
        .put("/v1/leases/:id", renew)
        .delete("/v1/leases/:id", revoke)
        .with(State::new(state))
        .map_handler(move |handler| {
            let state = Arc::clone(&stated);
            BoxHandler::new(move |request: Request| {
                let (handler, state) = (handler.clone(), Arc::clone(&state));
                async move {
                    let response = handler.call(request).await;
                    Ok(state_era(
                        &state,
                        response.unwrap_or_else(IntoResponse::into_response),
                    ))
                }
            })
        })
}

/// Adds the header that states the era, if the store has one, to any response.
fn state_era(state: &StoreState, mut response: Response) -> Response {
    if let Some(era) = lock(&state.data).era() {
        response
            .headers_mut()
            .insert(ERA_HEADER, HeaderValue::from(era.get()));
    }
    response
}

pub(super) fn control(state: Arc<StoreState>) -> Router {
    Router::new()
        .post("/fault", inject_fault)
        .get("/log", log_entries)
        .get("/counters", counters)
        .post("/snapshot", take_snapshot)
        .post("/restore", restore)
        .with(State::new(state))
}

/// Counts a call, then applies the rate limit and the faults that take effect before
/// the call is executed.
async fn admit(
    state: &StoreState,
    rate: &std::sync::Mutex<RateLimiter>,
    count: fn(&mut StoreCounters),
) -> Result<()> {
    count(&mut lock(&state.counters));
    if !lock(rate).try_take(Instant::now()) {
        lock(&state.counters).refused += 1;
        return Err(StatusCode::TOO_MANY_REQUESTS.into_error());
    }
    let fault_spec = state.fault.borrow().clone();
    match fault_spec.fault {
        StoreFault::Outage => {
            let mut faults = state.fault.subscribe();
            let outage_end = faults.wait_for(|fault_spec| fault_spec.fault != StoreFault::Outage);
            let _ = tokio::time::timeout(OUTAGE_RESPONSE_DELAY, outage_end).await;
            Err(StatusCode::SERVICE_UNAVAILABLE.into_error())
        }
        StoreFault::Slow => {
            tokio::time::sleep(fault_spec.delay_ms.unwrap_or_default().duration()).await;
            Ok(())
        }
        StoreFault::None | StoreFault::LostAnswers | StoreFault::HistoryDropped => Ok(()),
    }
}

/// Builds the response to a write; its body fails during a `LostAnswers` fault.
fn write_response<Message>(state: &StoreState, message: &Message) -> Result<Response>
where
    Message: Serialize,
{
    state.changed.notify_waiters();
    if state.fault.borrow().fault != StoreFault::LostAnswers {
        return control::json(message);
    }
    let error = std::io::Error::other("response aborted by an injected fault");
    let chunks = futures::stream::iter([Err::<bytes::Bytes, _>(error)]);
    Ok(http::Response::new(viz::Body::from_stream(chunks)))
}

async fn read(request: Request) -> Result<Response> {
    let state = control::state::<StoreState>(&request)?;
    let query: KeyQuery = request.query()?;
    admit(&state, &state.reads, |counters| counters.reads += 1).await?;
    let entry = lock(&state.data).read(Instant::now(), &query.key);
    control::json(&ReadReply { entry })
}

async fn write(mut request: Request) -> Result<Response> {
    let state = control::state::<StoreState>(&request)?;
    let query: KeyQuery = request.query()?;
    let body = request.bytes_with(None, MAX_VALUE_BYTES).await?;
    let value = String::from_utf8(body.to_vec())
        .map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()).into_error())?;
    admit(&state, &state.writes, |counters| counters.writes += 1).await?;
    let now = Instant::now();
    let reply = lock(&state.data).write(now, &query.key, Some(&value), query.conditions());
    write_response(&state, &reply)
}

async fn delete(request: Request) -> Result<Response> {
    let state = control::state::<StoreState>(&request)?;
    let query: KeyQuery = request.query()?;
    admit(&state, &state.writes, |counters| counters.writes += 1).await?;
    let now = Instant::now();
    let reply = lock(&state.data).write(now, &query.key, None, query.conditions());
    write_response(&state, &reply)
}

async fn list(request: Request) -> Result<Response> {
    let state = control::state::<StoreState>(&request)?;
    let query: PrefixQuery = request.query()?;
    admit(&state, &state.reads, |counters| counters.reads += 1).await?;
    let reply = lock(&state.data).list(Instant::now(), &query.prefix, Revision::ZERO);
    control::json(&ListReply {
        deleted: Vec::new(),
        ..reply
    })
}

async fn watch(request: Request) -> Result<Response> {
    let state = control::state::<StoreState>(&request)?;
    let query: PrefixQuery = request.query()?;
    admit(&state, &state.reads, |counters| counters.reads += 1).await?;
    let deadline = Instant::now() + query.wait_ms.unwrap_or_default().duration();
    let mut faults = state.fault.subscribe();
    loop {
        let changed = state.changed.notified();
        let now = Instant::now();
        let (reply, expiry) = {
            let mut data = lock(&state.data);
            if !data.has_history_after(query.after) {
                return Ok(StatusCode::GONE.into_response());
            }
            (
                data.list(now, &query.prefix, query.after),
                data.next_expiry(),
            )
        };
        if !reply.entries.is_empty() || !reply.deleted.is_empty() || now >= deadline {
            return control::json(&reply);
        }
        let wake_at = expiry.map_or(deadline, |expiry| expiry.min(deadline));
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(wake_at.into()) => {}
            _ = faults.wait_for(|fault_spec| fault_spec.fault == StoreFault::Outage) => {
                return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
            }
        }
    }
}

async fn grant(mut request: Request) -> Result<Response> {
    let state = control::state::<StoreState>(&request)?;
    let lease_request: LeaseRequest = control::read_json(&mut request).await?;
    admit(&state, &state.writes, |counters| counters.leases += 1).await?;
    let lease_id = lock(&state.data).grant(Instant::now(), lease_request.ttl_ms);
    write_response(&state, &LeaseReply { lease_id })
}

async fn renew(request: Request) -> Result<Response> {
    let state = control::state::<StoreState>(&request)?;
    let lease_id: u64 = request.param("id")?;
    admit(&state, &state.writes, |counters| counters.leases += 1).await?;
    let renewed = lock(&state.data).renew(Instant::now(), lease_id);
    let status = if renewed {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    };
    Ok((status, "{}").into_response())
}

async fn revoke(request: Request) -> Result<Response> {
    let state = control::state::<StoreState>(&request)?;
    let lease_id: u64 = request.param("id")?;
    admit(&state, &state.writes, |counters| counters.leases += 1).await?;
    lock(&state.data).revoke(lease_id);
    write_response(&state, &())
}

async fn inject_fault(mut request: Request) -> Result<Response> {
    let state = control::state::<StoreState>(&request)?;
    let fault_spec = control::read_json(&mut request).await?;
    state.inject_fault(fault_spec);
    Ok(StatusCode::NO_CONTENT.into_response())
}

/// Copies the contents, replacing an earlier copy.
async fn take_snapshot(request: Request) -> Result<Response> {
    control::state::<StoreState>(&request)?.take_snapshot();
    Ok(StatusCode::NO_CONTENT.into_response())
}

/// Goes back to the last copy in the next era; 409 if there is none.
async fn restore(request: Request) -> Result<Response> {
    match control::state::<StoreState>(&request)?.restore() {
        Some(era) => control::json(&RestoreReply { store_era: era }),
        None => Ok((StatusCode::CONFLICT, "no snapshot was taken").into_response()),
    }
}

/// Reply to a restore.
#[derive(Serialize)]
struct RestoreReply {
    /// Era that begins with the restore.
    store_era: StoreEra,
}

async fn log_entries(request: Request) -> Result<Response> {
    control::json(&lock(&control::state::<StoreState>(&request)?.data).log())
}

/// Counters and the time since the store started.
#[derive(Serialize)]
struct CountersReply {
    #[serde(flatten)]
    counters: StoreCounters,
    uptime_ms: Millis,
}

async fn counters(request: Request) -> Result<Response> {
    let state = control::state::<StoreState>(&request)?;
    let uptime_ms = Millis::new(state.started_at.elapsed().as_millis() as u64);
    let counters = *lock(&state.counters);
    control::json(&CountersReply {
        counters,
        uptime_ms,
    })
}
