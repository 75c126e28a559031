//! Accepted templates by workspace; a lower revision is never applied.
//!
//! A document that can't be read leaves the last good one in force, and its
//! revision is remembered, so that it is reported once.

use std::{collections::BTreeMap, sync::Arc};

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_settings::{KeyDigest, SettingsError, Template};
use parsleylatch_types::{MonoTime, Revision, WorkspaceId};

use crate::{
    charts::{self, LazyMachine},
    view::WorkspaceView,
};

chart_names! {
    /// States of a workspace's template.
    pub enum TemplateState {
        /// No document came.
        Absent,
        /// The newest document is in force.
        InForce,
        /// The newest document can't be read; an older one is in force.
        Held,
        /// No document could be read.
        Unusable,
    }
}

chart_names! {
    /// Events of a workspace's template.
    pub enum TemplateEvent {
        /// A newer document came.
        Readable,
        /// A newer document came that can't be read.
        Unreadable,
        /// A document came that is not newer.
        NotNewer,
    }
}

/// What became of a template that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force now.
    Newer,
    /// It was in force already, or an even newer one is.
    NotNewer,
    /// It can't be read; what was in force stays in force.
    Unreadable,
}

struct Arrival {
    newest: Revision,
    revision: Revision,
    template: Option<Template>,
    in_force: Option<Arc<WorkspaceView>>,
    applied: Applied,
}

impl Arrival {
    fn apply(&mut self) {
        if let Some(template) = self.template.take() {
            let revision = self.revision;
            self.in_force = Some(Arc::new(WorkspaceView { template, revision }));
        }
        self.newest = self.revision;
        self.applied = Applied::Newer;
    }

    fn report(&mut self) {
        self.newest = self.revision;
        self.applied = Applied::Unreadable;
    }

    fn event(&self) -> TemplateEvent {
        match &self.template {
            _ if self.revision <= self.newest => TemplateEvent::NotNewer,
            Some(_) => TemplateEvent::Readable,
            None => TemplateEvent::Unreadable,
        }
    }
}

static MACHINE: LazyMachine<TemplateState, TemplateEvent, Arrival> = LazyMachine::new(|| {
    let bindings = Bindings::<Arrival>::new()
        .action("apply", Arrival::apply)
        .action("report", Arrival::report);
    charts::compile(charts::CONFIGURATION, &bindings)
});

fn machine() -> &'static Machine<TemplateState, TemplateEvent, Arrival> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

#[derive(Clone, Debug)]
struct Workspace {
    life: Instance<TemplateState>,
    newest: Revision,
    in_force: Option<Arc<WorkspaceView>>,
}

/// Templates in force on this node.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    workspaces: BTreeMap<WorkspaceId, Workspace>,
}

impl Configuration {
    /// Configuration without workspaces.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a document over if its revision is higher than the newest known and
    /// it can be read.
    pub fn take(
        &mut self,
        now: MonoTime,
        id: &WorkspaceId,
        revision: Revision,
        read: Result<Template, SettingsError>,
    ) -> Applied {
        let mut arrival = Arrival {
            newest: Revision::ZERO,
            revision,
            template: read.ok(),
            in_force: None,
            applied: Applied::NotNewer,
        };
        let mut workspace = self.workspaces.remove(id).unwrap_or_else(|| Workspace {
            life: machine().start(now, &mut arrival),
            newest: Revision::ZERO,
            in_force: None,
        });
        arrival.newest = workspace.newest;
        arrival.in_force = workspace.in_force.take();
        let event = arrival.event();
        machine().step(&mut workspace.life, now, event, &mut arrival);
        workspace.newest = arrival.newest;
        workspace.in_force = arrival.in_force;
        self.workspaces.insert(id.clone(), workspace);
        arrival.applied
    }

    /// Newest revision that is known of a workspace, readable or not.
    pub fn newest(&self, id: &WorkspaceId) -> Option<Revision> {
        self.workspaces.get(id).map(|workspace| workspace.newest)
    }

    /// State of a workspace's template.
    pub fn state(&self, id: &WorkspaceId) -> TemplateState {
        let known = self.workspaces.get(id);
        known.map_or(TemplateState::Absent, |known| known.life.state())
    }

    /// Template in force for a workspace.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&Arc<WorkspaceView>> {
        self.workspaces.get(id)?.in_force.as_ref()
    }

    /// Every template in force.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceView>> {
        let known = self.workspaces.values();
        known.filter_map(|workspace| workspace.in_force.as_ref())
    }

    /// Workspaces by caller key.
    pub fn by_key(&self) -> BTreeMap<KeyDigest, Arc<WorkspaceView>> {
        let keyed = self.workspaces().flat_map(|view| {
            let keys = view.template.key_sha256.iter();
            keys.map(|key| (*key, Arc::clone(view)))
        });
        keyed.collect()
    }
}
