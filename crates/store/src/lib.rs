//! Clients of the platform's services: the key-value store and the VM list.
//!
//! A write that got no answer may have taken effect; [`StoreError::is_outcome_unknown`]
//! says so, and the caller has to read back.

mod codec;
mod error;
mod store;
mod vm_list;

pub use codec::{ConditionalWrite, ListPage, ReadReplyFn, ReplyError, StoreCodec, StoreRequest};
pub use error::{StoreError, StoreStep};
pub use store::{Condition, LeaseId, StoreClient};
pub use vm_list::VmListClient;
