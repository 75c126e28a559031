//! Clients for the platform's services: the key-value store and the VM list.
//!
//! A write that received no reply may have taken effect. If
//! [`StoreError::is_outcome_unknown`] is true, the caller has to read the key back.

mod codec;
mod error;
mod store;
mod vm_list;

pub use codec::{
    ConditionalWrite, Guard, ListPage, ReadReplyFn, ReplyError, StoreCodec, StoreRequest, read_era,
};
pub use error::{StoreError, StoreStep};
pub use store::{Condition, Dated, LeaseId, StoreClient};
pub use vm_list::VmListClient;
