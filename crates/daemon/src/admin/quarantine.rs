//! Operators' view of the quarantine, and their orders.

use std::rc::Rc;

use actix_http::StatusCode;
use oleanderwind_http::HttpReply;
use oleanderwind_policy::WorkFingerprint;
use oleanderwind_policy::WorkRecord;
use oleanderwind_policy::WorkVerdict;
use oleanderwind_wire::SuspectWork;

use crate::peers::PeerService;
use crate::time::milliseconds;

/// Service of work that an operator blocks before it ended any target.
const UNKNOWN_SERVICE: &str = "unknown";

/// An operator's order about work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkOrder {
    /// Forget what is held against it.
    Clear,
    /// Let it reach no target.
    Block,
}

/// Returns what this VM knows of all work that ended targets, newest first.
pub(super) fn list_works(peers: &PeerService) -> HttpReply {
    let works: Vec<SuspectWork> =
        peers.work_records().iter().map(|record| suspect_work(peers, record)).collect();
    HttpReply::json(StatusCode::OK, &works)
}

/// Carries out an order about the work with this fingerprint, and replies with what is known of it then.
pub(super) fn change_work(peers: &Rc<PeerService>, work: &str, order: WorkOrder) -> HttpReply {
    let work = match WorkFingerprint::try_from(work) {
        Ok(work) => work,
        Err(findings) => return HttpReply::text(StatusCode::BAD_REQUEST, format!("{findings}\n")),
    };
    let held = peers.work_record(&work);
    let is_news = match order {
        WorkOrder::Clear => peers.clear_work(&work),
        WorkOrder::Block => {
            let service =
                held.map_or_else(|| UNKNOWN_SERVICE.into(), |record| record.service.clone());
            peers.block_work(work, &service)
        }
    };
    log::info!(work:% = work, order:? = order, is_news = is_news, by = "operator"; "order about suspect work");
    match peers.work_record(&work) {
        Some(record) => HttpReply::json(StatusCode::OK, &suspect_work(peers, &record)),
        None => HttpReply::text(
            StatusCode::NOT_FOUND,
            format!("nothing is known of work {work} on this VM\n"),
        ),
    }
}

fn suspect_work(peers: &PeerService, record: &WorkRecord) -> SuspectWork {
    let (state, retry_after) = match peers.work_verdict(&record.work) {
        WorkVerdict::Clear => ("cleared", None),
        WorkVerdict::Suspect => ("suspect", None),
        WorkVerdict::Blocked { retry_after } => ("blocked", Some(retry_after)),
    };
    SuspectWork {
        work: record.work.to_string(),
        service: record.service.to_string(),
        state: state.to_owned(),
        ends: record.counted_ends(),
        trial_ends: record.ended_trials(),
        is_blocked_by_operator: record.is_blocked_by_operator,
        age_ms: milliseconds(record.age),
        retry_after_ms: retry_after.map(milliseconds),
    }
}
