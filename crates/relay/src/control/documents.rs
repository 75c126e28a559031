//! Documents of the store with the era in which the store gave them.

use parsleylatch_types::{Revision, StoreEra, StorePosition};
use parsleylatch_wire::{
    platform::{KeyValue, ListReply},
    relay::StoreDocument,
};

/// A document and the era of its revision.
#[derive(Clone, Debug)]
pub(crate) struct StoredDocument {
    pub(crate) entry: KeyValue,
    pub(crate) era: StoreEra,
}

impl StoredDocument {
    pub(crate) fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.entry.revision)
    }

    /// Converts the document to the message format between nodes.
    pub(crate) fn to_message(&self) -> StoreDocument {
        StoreDocument {
            key: self.entry.key.clone(),
            value: self.entry.value.clone(),
            revision: self.entry.revision.get(),
            era: self.era.get(),
        }
    }
}

impl From<&StoreDocument> for StoredDocument {
    fn from(message: &StoreDocument) -> Self {
        Self {
            entry: KeyValue {
                key: message.key.clone(),
                value: message.value.clone(),
                revision: Revision::new(message.revision),
            },
            era: StoreEra::new(message.era),
        }
    }
}

/// Documents that were read together: all of them, or those that have changed.
#[derive(Debug)]
pub(crate) struct DocumentSet {
    pub(crate) documents: Vec<StoredDocument>,
    /// Keys that were deleted, if these are changes.
    pub(crate) deleted: Vec<String>,
    /// Position of the store at which they were read.
    pub(crate) position: StorePosition,
}

impl DocumentSet {
    /// Documents that the store gave in an era.
    pub(crate) fn new(era: StoreEra, reply: ListReply) -> Self {
        let documents = reply.entries.into_iter();
        Self {
            documents: documents
                .map(|entry| StoredDocument { entry, era })
                .collect(),
            deleted: reply.deleted,
            position: StorePosition::new(era, reply.revision),
        }
    }
}
