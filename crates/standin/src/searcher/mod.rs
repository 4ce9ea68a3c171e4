//! Stand-ins of searchers: slots, a bounded queue, service times, snapshots and faults.

mod fault;
mod held_snapshots;
mod node;
mod record;
mod reply;
mod run;
mod service_time;

pub use fault::ReplyFault;
pub use fault::SearcherFault;
pub(crate) use node::SearcherIdentity;
pub(crate) use node::SearcherNode;
pub use record::CallReport;
pub(crate) use record::ExecutionLog;
pub use record::ExecutionRecord;
pub use service_time::ServiceTimeSettings;
