//! Tests of searchers: answers, slots, queue, connections, snapshots and drains.
#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::SnapshotManifest;
use oleanderwind_policy::TargetPhase;
use oleanderwind_policy::TargetSpec;
use oleanderwind_standin::DeploymentName;
use oleanderwind_standin::SearcherFault;
use oleanderwind_standin::SnapshotOrder;
use oleanderwind_standin::StandinServer;
use oleanderwind_standin::StandinSettings;
use oleanderwind_standin::shard_documents;
use oleanderwind_standin::shard_hits;
use oleanderwind_wire::CancelCall;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::SearcherRefusal;
use oleanderwind_wire::ShardAnswer;
use oleanderwind_wire::ShardCall;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use support::FOREVER_MS;
use support::TestReply;
use support::apply;
use support::calls;
use support::client;
use support::execute;
use support::get;
use support::object_url;
use support::search;
use support::searcher;
use support::send;
use support::settings;
use support::shard_call;
use support::url;
use support::wait_until;
use support::with_server;

/// Starts searches, each on its own connection.
fn search_many(
    spec: &TargetSpec,
    call_ids: std::ops::Range<u64>,
) -> Vec<JoinHandle<Option<TestReply>>> {
    let one = |call_id| {
        let spec = spec.clone();
        actix_rt::spawn(async move { search(&client(), &spec, call_id).await })
    };
    call_ids.map(one).collect()
}

/// Cancels a call.
async fn cancel(spec: &TargetSpec, call_id: u64) {
    let reply =
        send(&client(), "POST", url(spec.address, "/v1/cancel"), &CancelCall { call_id }).await;
    assert_eq!(reply.unwrap().status, 204);
}

/// Returns the phase in the object of a target.
async fn object_phase(server: &StandinServer, spec: &TargetSpec) -> TargetPhase {
    let url = object_url(server, &format!("targets/{}", spec.target));
    let document: ObjectDocument = get(&client(), url).await.unwrap().read();
    let target: TargetSpec = serde_json::from_value(document.spec).unwrap();
    target.phase
}

/// Returns the cause of a refusal.
fn cause(reply: Option<TestReply>) -> RefusalCause {
    reply.unwrap().read::<SearcherRefusal>().cause
}

#[test]
fn deployment_has_the_documented_sizes() {
    let deployments = DeploymentName::ALL.to_vec();
    let providers = vec!["alpha".into(), "beta".into()];
    with_server(StandinSettings { deployments, providers, ..settings(1) }, async |server| {
        let targets = server.targets();
        let sizes = [
            ("course-finder", 40, 2, 25),
            ("board-notes", 60, 2, 25),
            ("certificate-registry", 7, 6, 100),
            ("trainer-roster", 3, 6, 100),
            ("member-app", 40, 2, 25),
            ("ledger-desk", 60, 2, 25),
            ("salon-counter", 4, 6, 50),
            ("dividend-run", 4, 6, 50),
        ];
        for (service, searchers, slots, connections) in sizes {
            let of_service =
                |spec: &&TargetSpec| &*spec.service == service && &*spec.provider == "beta";
            let found: Vec<&TargetSpec> = targets.iter().filter(of_service).collect();
            assert_eq!(found.len(), searchers, "{service}");
            for spec in found {
                assert_eq!((spec.slots, spec.connection_limit), (slots, connections), "{service}");
            }
        }
        assert_eq!(targets.len(), 2 * (110 + 108));
    });
}

#[test]
fn replicas_are_in_different_failure_domains() {
    with_server(settings(1), async |server| {
        let url = object_url(&server, "snapshots/course-finder.alpha");
        let document: ObjectDocument = get(&client(), url).await.unwrap().read();
        let manifest: SnapshotManifest = serde_json::from_value(document.spec).unwrap();
        assert_eq!(manifest.shards.len(), 20);
        for entry in &manifest.shards {
            let targets = server.targets();
            let holders = targets.iter().filter(|spec| entry.targets.contains(&spec.target));
            let domains: BTreeSet<_> = holders.map(|spec| spec.failure_domain.clone()).collect();
            assert_eq!((entry.targets.len(), domains.len()), (2, 2), "shard {}", entry.shard);
            let documents = shard_documents("course-finder", 1, entry.shard);
            assert_eq!(entry.documents, documents);
        }
    });
}

#[test]
fn search_returns_the_hits_of_the_documents() {
    with_server(settings(1), async |server| {
        let spec = searcher(&server, "course-finder");
        let answer: ShardAnswer = search(&client(), &spec, 7).await.unwrap().read();
        let documents = shard_documents("course-finder", 1, 0);
        assert_eq!((answer.call_id, answer.shard, answer.index_version), (7, 0, 1));
        assert_eq!(answer.documents, documents);
        assert_eq!(answer.hits, shard_hits("course-finder", 1, 0, documents, "budget law"));
        assert!(!answer.hits.is_empty() && !answer.draining);
    });
}

#[test]
fn connections_over_the_limit_are_closed() {
    with_server(settings(1), async |server| {
        let spec = searcher(&server, "course-finder");
        let mut streams = Vec::new();
        for _ in 0..28 {
            streams.push(TcpStream::connect(spec.address).await.unwrap());
        }
        wait_until(|| calls(&server, &spec).connections_over_limit == 3).await;
        assert_eq!(calls(&server, &spec).peak_connections, 25);
        for stream in &mut streams[25..] {
            assert_eq!(stream.read(&mut [0; 1]).await.unwrap_or(0), 0);
        }
        streams.truncate(10);
        wait_until(|| calls(&server, &spec).connections == 10).await;
        assert!(search(&client(), &spec, 1).await.is_some());
    });
}

#[test]
fn calls_beyond_the_queue_limit_are_shed() {
    let settings = StandinSettings { queue_limit: 4, ..settings(FOREVER_MS) };
    with_server(settings, async |server| {
        let spec = searcher(&server, "course-finder");
        let waiting = search_many(&spec, 0..9);
        wait_until(|| calls(&server, &spec).received == 9).await;
        wait_until(|| calls(&server, &spec).shed == 3).await;
        let load = get(&client(), url(spec.address, "/v1/load")).await.unwrap().body;
        assert_eq!(load, serde_json::json!({"busy": 2, "queued": 4, "slots": 2}));
        assert_eq!(calls(&server, &spec).run, 2);
        for call_id in 0..9 {
            cancel(&spec, call_id).await;
        }
        let mut causes = Vec::new();
        for call in waiting {
            causes.push(cause(call.await.unwrap()));
        }
        let shed = causes.iter().filter(|cause| **cause == RefusalCause::Shedding).count();
        let cancelled = causes.iter().filter(|cause| **cause == RefusalCause::Cancelled).count();
        assert_eq!((shed, cancelled), (3, 6));
        assert_eq!(calls(&server, &spec).cancelled, 6);
    });
}

#[test]
fn closed_connection_cancels_a_queued_execute_call() {
    with_server(settings(FOREVER_MS), async |server| {
        let spec = searcher(&server, "course-finder");
        let running = search_many(&spec, 0..2);
        wait_until(|| calls(&server, &spec).run == 2).await;
        let call_spec = spec.clone();
        let call = actix_rt::spawn(async move { execute(&client(), &call_spec, 9).await });
        wait_until(|| calls(&server, &spec).received == 3).await;
        call.abort();
        wait_until(|| calls(&server, &spec).cancelled == 1).await;
        for call_id in 0..2 {
            cancel(&spec, call_id).await;
        }
        for call in running {
            assert_eq!(cause(call.await.unwrap()), RefusalCause::Cancelled);
        }
        assert!(server.executions().is_empty());
    });
}

#[test]
fn cancel_after_the_start_leaves_an_execute_call_running() {
    with_server(settings(100), async |server| {
        let spec = searcher(&server, "certificate-registry");
        let call_spec = spec.clone();
        let call = actix_rt::spawn(async move { execute(&client(), &call_spec, 9).await });
        wait_until(|| server.executions().len() == 1).await;
        cancel(&spec, 9).await;
        assert_eq!(call.await.unwrap().unwrap().status, 200);
        let record = server.executions().remove(0);
        assert_eq!((record.call_id, record.idempotency_key.as_str()), (9, "key-9"));
    });
}

#[test]
fn deadline_ends_a_queued_call() {
    with_server(settings(FOREVER_MS), async |server| {
        let spec = searcher(&server, "course-finder");
        let _running = search_many(&spec, 0..2);
        wait_until(|| calls(&server, &spec).run == 2).await;
        let call = ShardCall { deadline_ms: 5, ..shard_call(3) };
        let reply = send(&client(), "POST", url(spec.address, "/v1/search"), &call).await;
        assert_eq!(cause(reply), RefusalCause::DeadlinePassed);
        assert_eq!(calls(&server, &spec).run, 2);
    });
}

#[test]
fn old_snapshot_is_retained_then_refused() {
    for (retention, status) in [(Duration::from_millis(FOREVER_MS), 200), (Duration::ZERO, 503)] {
        with_server(
            StandinSettings { snapshot_retention: retention, ..settings(1) },
            async |server| {
                let spec = searcher(&server, "course-finder");
                let order = SnapshotOrder {
                    service: "course-finder".into(),
                    provider: "alpha".into(),
                    shards: None,
                };
                assert_eq!(server.publish_snapshot(&order).index_version, Some(2));
                let old = search(&client(), &spec, 1).await.unwrap();
                assert_eq!(old.status, status);
                if status == 503 {
                    assert_eq!(cause(Some(old)), RefusalCause::SnapshotUnknown);
                }
                let call = ShardCall { index_version: 2, ..shard_call(2) };
                let new = send(&client(), "POST", url(spec.address, "/v1/search"), &call).await;
                assert_eq!(new.unwrap().status, 200);
            },
        );
    }
}

#[test]
fn repartition_leaves_no_shard_without_a_target() {
    with_server(settings(1), async |server| {
        for shards in [33, 7] {
            let order = SnapshotOrder {
                service: "course-finder".into(),
                provider: "alpha".into(),
                shards: Some(shards),
            };
            let version = server.publish_snapshot(&order).index_version.unwrap();
            let url_text = object_url(&server, "snapshots/course-finder.alpha");
            let document: ObjectDocument = get(&client(), url_text).await.unwrap().read();
            let manifest: SnapshotManifest = serde_json::from_value(document.spec).unwrap();
            assert_eq!(manifest.shards.len(), usize::try_from(shards).unwrap());
            let last = manifest.shards.last().unwrap();
            let targets = server.targets();
            for target in &last.targets {
                let spec = targets.iter().find(|spec| spec.target == *target).unwrap();
                let call = ShardCall { index_version: version, shard: last.shard, ..shard_call(1) };
                let reply = send(&client(), "POST", url(spec.address, "/v1/search"), &call).await;
                assert_eq!(reply.unwrap().read::<ShardAnswer>().documents, last.documents);
            }
            assert!(manifest.shards.iter().all(|entry| entry.targets.len() >= 2));
        }
    });
}

#[test]
fn drain_is_signalled_in_replies_before_the_object_changes() {
    with_server(settings(1), async |server| {
        let spec = searcher(&server, "course-finder");
        apply(&server, &spec, SearcherFault::Drain { object_lag_ms: FOREVER_MS });
        let refusal: SearcherRefusal = search(&client(), &spec, 1).await.unwrap().read();
        assert_eq!((refusal.cause, refusal.draining), (RefusalCause::Draining, true));
        assert_eq!(object_phase(&server, &spec).await, TargetPhase::Ready);
        let health = get(&client(), url(spec.address, "/v1/health")).await.unwrap();
        assert_eq!(health.status, 200);
        assert_eq!(calls(&server, &spec).after_drain_ms.len(), 1);
        apply(&server, &spec, SearcherFault::Drain { object_lag_ms: 0 });
        assert_eq!(object_phase(&server, &spec).await, TargetPhase::Draining);
        apply(&server, &spec, SearcherFault::Undrain);
        assert_eq!(object_phase(&server, &spec).await, TargetPhase::Ready);
        assert_eq!(search(&client(), &spec, 2).await.unwrap().status, 200);
    });
}
