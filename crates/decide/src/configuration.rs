//! Accepted templates by workspace; a lower revision is never applied.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
};

use parsleylatch_settings::{KeyDigest, Template};
use parsleylatch_types::{Revision, WorkspaceId};

use crate::view::WorkspaceView;

/// What became of a template that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force now.
    Newer,
    /// It was in force already, or an even newer one is.
    NotNewer,
}

/// Templates in force on this node.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    workspaces: BTreeMap<WorkspaceId, Arc<WorkspaceView>>,
}

impl Configuration {
    /// Configuration without workspaces.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a template over if its revision is higher than the one in force.
    pub fn apply(&mut self, template: Template, revision: Revision) -> Applied {
        let view = Arc::new(WorkspaceView { template, revision });
        match self.workspaces.entry(view.template.workspace.clone()) {
            Entry::Vacant(vacant) => {
                vacant.insert(view);
                Applied::Newer
            }
            Entry::Occupied(mut occupied) if occupied.get().revision < revision => {
                occupied.insert(view);
                Applied::Newer
            }
            Entry::Occupied(_) => Applied::NotNewer,
        }
    }

    /// Template in force for a workspace.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&Arc<WorkspaceView>> {
        self.workspaces.get(id)
    }

    /// Every template in force.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceView>> {
        self.workspaces.values()
    }

    /// Workspaces by caller key.
    pub fn by_key(&self) -> BTreeMap<KeyDigest, Arc<WorkspaceView>> {
        let keyed = self.workspaces.values().flat_map(|view| {
            view.template
                .key_sha256
                .iter()
                .map(|key| (*key, Arc::clone(view)))
        });
        keyed.collect()
    }
}
