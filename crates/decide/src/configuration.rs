//! Accepted templates by workspace. A lower revision is never applied.
//!
//! An unreadable document leaves the last readable one in force. Its revision is
//! recorded, so that the error is reported only once.

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
        /// No document has been received.
        Absent,
        /// The newest document is in force.
        InForce,
        /// The newest document is unreadable; an older one is in force.
        Held,
        /// No document received so far is readable.
        Unusable,
    }
}

chart_names! {
    /// Events in the lifecycle of a workspace's template.
    pub enum TemplateEvent {
        /// A newer document was received.
        Readable,
        /// A newer document was received, but is unreadable.
        Unreadable,
        /// The received document is not newer than the newest known one.
        NotNewer,
    }
}

/// Result of applying a template document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The document was newer and is now in force.
    Newer,
    /// The document is not newer than the newest known one, and was ignored.
    NotNewer,
    /// The document is unreadable; the previous template stays in force.
    Unreadable,
}

struct TemplateContext {
    newest_revision: Revision,
    revision: Revision,
    template: Option<Template>,
    in_force: Option<Arc<WorkspaceView>>,
    outcome: ApplyOutcome,
}

impl TemplateContext {
    fn apply(&mut self) {
        if let Some(template) = self.template.take() {
            let revision = self.revision;
            self.in_force = Some(Arc::new(WorkspaceView { template, revision }));
        }
        self.newest_revision = self.revision;
        self.outcome = ApplyOutcome::Newer;
    }

    fn mark_unreadable(&mut self) {
        self.newest_revision = self.revision;
        self.outcome = ApplyOutcome::Unreadable;
    }

    fn event(&self) -> TemplateEvent {
        match &self.template {
            _ if self.revision <= self.newest_revision => TemplateEvent::NotNewer,
            Some(_) => TemplateEvent::Readable,
            None => TemplateEvent::Unreadable,
        }
    }
}

static MACHINE: LazyMachine<TemplateState, TemplateEvent, TemplateContext> =
    LazyMachine::new(|| {
        let bindings = Bindings::<TemplateContext>::new()
            .action("apply", TemplateContext::apply)
            .action("mark_unreadable", TemplateContext::mark_unreadable);
        charts::compile(charts::CONFIGURATION, &bindings)
    });

fn machine() -> &'static Machine<TemplateState, TemplateEvent, TemplateContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

#[derive(Clone, Debug)]
struct Workspace {
    instance: Instance<TemplateState>,
    newest_revision: Revision,
    in_force: Option<Arc<WorkspaceView>>,
}

/// Templates of all workspaces, as known to this node.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    workspaces: BTreeMap<WorkspaceId, Workspace>,
}

impl Configuration {
    /// Creates a configuration without workspaces.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a document if its revision is higher than the newest known one and
    /// it is readable.
    pub fn apply_document(
        &mut self,
        now: MonoTime,
        id: &WorkspaceId,
        revision: Revision,
        parsed: Result<Template, SettingsError>,
    ) -> ApplyOutcome {
        let mut context = TemplateContext {
            newest_revision: Revision::ZERO,
            revision,
            template: parsed.ok(),
            in_force: None,
            outcome: ApplyOutcome::NotNewer,
        };
        let mut workspace = self.workspaces.remove(id).unwrap_or_else(|| Workspace {
            instance: machine().start(now, &mut context),
            newest_revision: Revision::ZERO,
            in_force: None,
        });
        context.newest_revision = workspace.newest_revision;
        context.in_force = workspace.in_force.take();
        let event = context.event();
        machine().step(&mut workspace.instance, now, event, &mut context);
        workspace.newest_revision = context.newest_revision;
        workspace.in_force = context.in_force;
        self.workspaces.insert(id.clone(), workspace);
        context.outcome
    }

    /// Newest known revision of a workspace's template, readable or not.
    pub fn newest_revision(&self, id: &WorkspaceId) -> Option<Revision> {
        self.workspaces
            .get(id)
            .map(|workspace| workspace.newest_revision)
    }

    /// State of a workspace's template.
    pub fn state(&self, id: &WorkspaceId) -> TemplateState {
        let known = self.workspaces.get(id);
        known.map_or(TemplateState::Absent, |known| known.instance.state())
    }

    /// Template in force for a workspace.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&Arc<WorkspaceView>> {
        self.workspaces.get(id)?.in_force.as_ref()
    }

    /// All templates in force.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceView>> {
        let known = self.workspaces.values();
        known.filter_map(|workspace| workspace.in_force.as_ref())
    }

    /// Workspaces by digest of the caller key.
    pub fn by_key(&self) -> BTreeMap<KeyDigest, Arc<WorkspaceView>> {
        let entries = self.workspaces().flat_map(|view| {
            let keys = view.template.key_sha256.iter();
            keys.map(|key| (*key, Arc::clone(view)))
        });
        entries.collect()
    }
}
