//! Which documents of a restored store replace what a node knows.
//!
//! A restored store shows documents as they were when its copy was made, at revisions that
//! it issues again. Revisions of different eras therefore don't tell which of two documents
//! is newer.

use parsleylatch_types::{Revision, StoreEra, StorePosition};

/// Identifies a configuration among those that operators have written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationMark {
    /// Version that the operators gave it.
    pub version: u64,
    /// Position of the document in the store.
    pub position: StorePosition,
}

impl ConfigurationMark {
    /// Whether this configuration replaces a known one. Without an era the revision
    /// decides; in a store that states its era the version does, as a copy may show an
    /// older version at any revision.
    pub fn replaces(&self, known: &Self) -> bool {
        let eras = [self.position.era, known.position.era];
        match eras == [StoreEra::ZERO; 2] {
            true => self.position.revision > known.position.revision,
            false => (self.version, self.position) > (known.version, known.position),
        }
    }
}

/// A document of the store, as far as its place among others depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DocumentMark<'a> {
    /// Position of the document in the store.
    pub position: StorePosition,
    /// Text of the document.
    pub text: &'a str,
}

/// What a roll-out order that was read is to the order in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFinding {
    /// It is the order in force, or an older one that is known.
    Known,
    /// It is the order in force at its position in the restored store.
    Moved,
    /// It is the order that the one in force has replaced, as the copy shows it.
    Superseded,
    /// It is a new order.
    New,
}

/// Judges an order. `superseded` are the orders that earlier ones in force have replaced,
/// with the revisions at which the store had them.
pub fn judge_order<'a>(
    offered: DocumentMark<'_>,
    known: Option<DocumentMark<'_>>,
    superseded: impl IntoIterator<Item = (Revision, &'a str)>,
) -> OrderFinding {
    let Some(known) = known else {
        return OrderFinding::New;
    };
    if offered.position <= known.position {
        return OrderFinding::Known;
    }
    if offered.position.era == known.position.era {
        return OrderFinding::New;
    }
    if offered.text == known.text {
        return OrderFinding::Moved;
    }
    let mark = (offered.position.revision, offered.text);
    match superseded.into_iter().any(|it| it == mark) {
        true => OrderFinding::Superseded,
        false => OrderFinding::New,
    }
}
