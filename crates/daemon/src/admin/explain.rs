//! Explanation of the route of a class's requests.

use oleanderwind_policy::SnapshotManifest;
use oleanderwind_policy::TargetId;
use oleanderwind_policy::TargetPhase;
use oleanderwind_policy::TargetSpec;
use oleanderwind_wire::RouteExplanation;
use oleanderwind_wire::ShardTargets;

use crate::directory::DirectoryService;

/// Returns the route of the class's requests, or `None` if there is no such contract or class.
pub(crate) fn explain_route(
    directory: &DirectoryService,
    customer: &str,
    class: &str,
) -> Option<RouteExplanation> {
    let entry = directory.contract(customer)?;
    let terms = entry.contract.classes.get(class)?;
    let targets = directory.targets();
    let mut explanation = RouteExplanation {
        customer: entry.contract.customer.clone(),
        class: class.to_owned(),
        revision: entry.revision,
        service: terms.service.to_string(),
        placement: Vec::new(),
        snapshots: Vec::new(),
        shards: Vec::new(),
        notes: Vec::new(),
    };
    for share in &entry.contract.placement {
        explanation.placement.push(format!("{}={}", share.provider, share.share_permille));
        match directory.snapshot(&terms.service, &share.provider) {
            Some(manifest) => add_snapshot(&mut explanation, &manifest, &targets),
            None => explanation
                .notes
                .push(format!("{} has no snapshot of {}", share.provider, terms.service)),
        }
    }
    Some(explanation)
}

fn add_snapshot(
    explanation: &mut RouteExplanation,
    manifest: &SnapshotManifest,
    targets: &[TargetSpec],
) {
    explanation.snapshots.push(format!("{}@{}", manifest.provider, manifest.index_version));
    let is_ready = |target: &TargetId| {
        targets.iter().any(|spec| spec.target == *target && spec.phase == TargetPhase::Ready)
    };
    for entry in &manifest.shards {
        let (ready, draining) = entry.targets.iter().cloned().partition(is_ready);
        let index_version = manifest.index_version;
        explanation.shards.push(ShardTargets {
            shard: entry.shard,
            index_version,
            ready,
            draining,
        });
    }
}
