//! Simulated VM list of the platform: changes become visible after a fixed lag.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use parsleylatch_types::{EndpointId, Millis};
use parsleylatch_wire::platform::{VmEntry, VmListReply};
use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode, types::State};

use crate::{control, serve::ServerHandle};

/// Settings of a simulated VM list.
#[derive(Clone, Debug)]
pub struct VmListSettings {
    /// Address to serve the protocol on.
    pub address: SocketAddr,
    /// Address to accept changes on.
    pub control: SocketAddr,
    /// Time until a change becomes visible.
    pub lag_ms: Millis,
}

type VmMap = BTreeMap<EndpointId, VmEntry>;

struct VmListState {
    lag_ms: Millis,
    /// Versions of the list that may still become visible, oldest first.
    versions: Mutex<Vec<(Instant, VmMap)>>,
}

impl VmListState {
    fn modify(&self, update: impl FnOnce(&mut VmMap)) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let mut vms = versions
            .last()
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default();
        update(&mut vms);
        versions.push((Instant::now(), vms));
    }

    fn visible_list(&self) -> VmListReply {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let lag = self.lag_ms.duration();
        while versions.len() > 1 && now.duration_since(versions[1].0) >= lag {
            versions.remove(0);
        }
        let oldest = versions
            .first()
            .filter(|(since, _)| now.duration_since(*since) >= lag);
        let vms = oldest.map(|(_, vms)| vms.values().cloned().collect());
        VmListReply {
            vms: vms.unwrap_or_default(),
        }
    }
}

/// A running simulated VM list.
pub struct VmList {
    /// Listeners; stop when dropped.
    pub server: ServerHandle,
    state: Arc<VmListState>,
}

impl VmList {
    /// Starts a VM list on the current Tokio runtime.
    ///
    /// # Errors
    /// Fails if an address can't be bound.
    pub fn start(settings: &VmListSettings) -> io::Result<Self> {
        let state = Arc::new(VmListState {
            lag_ms: settings.lag_ms,
            versions: Mutex::default(),
        });
        let protocol_router = Router::new()
            .get("/v1/vms", get_list)
            .with(State::new(Arc::clone(&state)));
        let control_router = Router::new()
            .post("/vms", put_vm)
            .delete("/vms/:id", delete_vm)
            .with(State::new(Arc::clone(&state)));
        let server = ServerHandle::start(
            settings.address,
            settings.control,
            protocol_router,
            control_router,
        )?;
        Ok(Self { server, state })
    }

    /// Adds or replaces a VM.
    pub fn put(&self, vm: VmEntry) {
        self.state.modify(|vms| {
            vms.insert(vm.id.clone(), vm);
        });
    }

    /// Removes a VM, if it is listed.
    pub fn remove(&self, id: &EndpointId) {
        self.state.modify(|vms| {
            vms.remove(id);
        });
    }
}

async fn get_list(request: Request) -> Result<Response> {
    control::json(&control::state::<VmListState>(&request)?.visible_list())
}

async fn put_vm(mut request: Request) -> Result<Response> {
    let state = control::state::<VmListState>(&request)?;
    let vm: VmEntry = control::read_json(&mut request).await?;
    state.modify(|vms| {
        vms.insert(vm.id.clone(), vm);
    });
    Ok(StatusCode::NO_CONTENT.into_response())
}

async fn delete_vm(request: Request) -> Result<Response> {
    let id: EndpointId = request.param("id")?;
    control::state::<VmListState>(&request)?.modify(|vms| {
        vms.remove(&id);
    });
    Ok(StatusCode::NO_CONTENT.into_response())
}
