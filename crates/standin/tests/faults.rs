//! Tests of every fault, injected within the process and over the control port.
#![allow(clippy::unwrap_used)]

mod support;

use oleanderwind_policy::RefusalCause;
use oleanderwind_policy::TargetSpec;
use oleanderwind_standin::ReplyFault;
use oleanderwind_standin::SearcherFault;
use oleanderwind_standin::StandinServer;
use oleanderwind_standin::shard_documents;
use oleanderwind_wire::ExecuteAnswer;
use oleanderwind_wire::SearcherRefusal;
use oleanderwind_wire::ShardAnswer;
use oleanderwind_wire::ShardCall;
use serde_json::Value;
use serde_json::json;

use support::FOREVER_MS;
use support::apply;
use support::calls;
use support::client;
use support::execute;
use support::execute_call;
use support::get;
use support::search;
use support::searcher;
use support::send;
use support::settings;
use support::shard_call;
use support::short_timeout_client;
use support::url;
use support::with_server;

/// Returns whether a search with a deadline of 200 ms exceeds it while running.
async fn is_slow(server: &StandinServer, spec: &TargetSpec) -> bool {
    let runs = calls(server, spec).run;
    let call = ShardCall { deadline_ms: 200, ..shard_call(1) };
    let reply = send(&client(), "POST", url(spec.address, "/v1/search"), &call).await.unwrap();
    assert_eq!(calls(server, spec).run, runs + 1);
    match reply.status {
        200 => false,
        _ => reply.read::<SearcherRefusal>().cause == RefusalCause::DeadlinePassed,
    }
}

#[test]
fn execute_call_takes_effect_although_its_reply_is_lost() {
    for reply in [ReplyFault::LostByClose, ReplyFault::LostBySilence] {
        with_server(settings(1), async |server| {
            let spec = searcher(&server, "certificate-registry");
            apply(&server, &spec, SearcherFault::SpoilReplies { reply, count: 1 });
            let lost = execute(&short_timeout_client(), &spec, 1).await;
            assert!(lost.is_none(), "{reply:?}: {lost:?}");
            assert_eq!(server.executions().len(), 1, "{reply:?}");
            assert_eq!(execute(&client(), &spec, 2).await.unwrap().status, 200, "{reply:?}");
        });
    }
}

#[test]
fn closed_mid_reply_sends_part_of_the_body() {
    with_server(settings(1), async |server| {
        let spec = searcher(&server, "certificate-registry");
        let reply = ReplyFault::ClosedMidReply;
        apply(&server, &spec, SearcherFault::SpoilReplies { reply, count: 1 });
        let request = client().post(url(spec.address, "/v1/execute"));
        let mut reply = request.send_json(&execute_call(1)).await.unwrap();
        let content_length =
            reply.headers().get("content-length").unwrap().to_str().unwrap().to_owned();
        // awc returns a truncated body without an error if the connection closes early.
        let received = reply.body().await.unwrap();
        assert_eq!(reply.status().as_u16(), 200);
        assert_eq!(received.len(), 16);
        assert!(content_length.parse::<usize>().unwrap() > received.len());
        assert_eq!(server.executions().len(), 1);
        assert_eq!(execute(&client(), &spec, 2).await.unwrap().status, 200);
    });
}

#[test]
fn spoiled_answers_report_another_call_snapshot_or_coverage() {
    with_server(settings(1), async |server| {
        let spec = searcher(&server, "course-finder");
        let spoil = async |reply, call_id| -> ShardAnswer {
            apply(&server, &spec, SearcherFault::SpoilReplies { reply, count: 1 });
            search(&client(), &spec, call_id).await.unwrap().read()
        };
        assert_ne!(spoil(ReplyFault::CrossedAnswer, 1).await.call_id, 1);
        assert_eq!(spoil(ReplyFault::WrongSnapshot, 2).await.index_version, 2);
        let documents = shard_documents("course-finder", 1, 0);
        assert_eq!(spoil(ReplyFault::HalfAnswer, 3).await.documents, documents / 2);
        let whole: ShardAnswer = search(&client(), &spec, 4).await.unwrap().read();
        assert_eq!((whole.call_id, whole.documents), (4, documents));
        apply(
            &server,
            &spec,
            SearcherFault::SpoilReplies { reply: ReplyFault::CrossedAnswer, count: 1 },
        );
        let crossed: ExecuteAnswer = execute(&client(), &spec, 5).await.unwrap().read();
        assert_ne!(crossed.call_id, 5);
    });
}

#[test]
fn duplicate_run_is_recorded_twice() {
    with_server(settings(1), async |server| {
        let spec = searcher(&server, "certificate-registry");
        apply(&server, &spec, SearcherFault::DuplicateRuns { count: 1 });
        execute(&client(), &spec, 1).await.unwrap();
        execute(&client(), &spec, 2).await.unwrap();
        let ids: Vec<u64> = server.executions().iter().map(|record| record.call_id).collect();
        assert_eq!(ids, [1, 1, 2]);
    });
}

#[test]
fn slowing_faults_exceed_the_deadline_until_cleared() {
    let faults = [
        SearcherFault::Delay { extra_ms: FOREVER_MS },
        SearcherFault::Stretch { factor_permille: 1_000_000_000 },
        SearcherFault::ColdStart { slow_ms: FOREVER_MS, factor_permille: 1_000_000_000 },
    ];
    with_server(settings(1), async |server| {
        let spec = searcher(&server, "course-finder");
        for fault in faults {
            apply(&server, &spec, fault);
            assert!(is_slow(&server, &spec).await, "{fault:?}");
            apply(&server, &spec, SearcherFault::Clear);
            assert_eq!(search(&client(), &spec, 2).await.unwrap().status, 200, "{fault:?}");
        }
        let over = SearcherFault::ColdStart { slow_ms: 0, factor_permille: 1_000_000_000 };
        apply(&server, &spec, over);
        assert_eq!(search(&client(), &spec, 3).await.unwrap().status, 200);
    });
}

#[test]
fn frozen_searcher_accepts_calls_without_answering() {
    with_server(settings(1), async |server| {
        let spec = searcher(&server, "course-finder");
        apply(&server, &spec, SearcherFault::Freeze);
        assert!(search(&short_timeout_client(), &spec, 1).await.is_none());
        let report = calls(&server, &spec);
        assert_eq!((report.received, report.run), (1, 0));
        apply(&server, &spec, SearcherFault::Clear);
        assert_eq!(search(&client(), &spec, 2).await.unwrap().status, 200);
    });
}

#[test]
fn shedding_searcher_refuses_without_running() {
    with_server(settings(1), async |server| {
        let spec = searcher(&server, "certificate-registry");
        apply(&server, &spec, SearcherFault::Shed);
        let refusal: SearcherRefusal = execute(&client(), &spec, 1).await.unwrap().read();
        assert_eq!((refusal.call_id, refusal.cause), (1, RefusalCause::Shedding));
        assert!(server.executions().is_empty());
    });
}

#[test]
fn silenced_connection_stays_silent_while_new_ones_work() {
    with_server(settings(1), async |server| {
        let spec = searcher(&server, "course-finder");
        let old = short_timeout_client();
        assert!(search(&old, &spec, 1).await.is_some());
        apply(&server, &spec, SearcherFault::SilenceConnections);
        assert!(search(&old, &spec, 2).await.is_none());
        assert_eq!(search(&client(), &spec, 3).await.unwrap().status, 200);
        let report = calls(&server, &spec);
        assert_eq!((report.received, report.peak_connections), (2, 2));
    });
}

#[test]
fn silenced_connection_counts_until_its_timeout() {
    let silent_timeout = std::time::Duration::from_millis(20);
    let settings = oleanderwind_standin::StandinSettings { silent_timeout, ..settings(1) };
    with_server(settings, async |server| {
        let spec = searcher(&server, "course-finder");
        let old = client();
        assert!(search(&old, &spec, 1).await.is_some());
        apply(&server, &spec, SearcherFault::SilenceConnections);
        assert_eq!(calls(&server, &spec).connections, 1);
        support::wait_until(|| calls(&server, &spec).connections == 0).await;
    });
}

#[test]
fn searcher_that_is_down_refuses_connections_until_up() {
    with_server(settings(1), async |server| {
        let spec = searcher(&server, "course-finder");
        let old = client();
        assert!(search(&old, &spec, 1).await.is_some());
        apply(&server, &spec, SearcherFault::Down);
        support::wait_until(|| calls(&server, &spec).connections == 0).await;
        assert!(search(&old, &spec, 2).await.is_none());
        assert!(search(&client(), &spec, 3).await.is_none());
        apply(&server, &spec, SearcherFault::Up);
        assert_eq!(search(&client(), &spec, 4).await.unwrap().status, 200);
    });
}

#[test]
fn health_and_load_report_the_injected_values() {
    with_server(settings(1), async |server| {
        let spec = searcher(&server, "course-finder");
        apply(&server, &spec, SearcherFault::MisleadHealth { well: false });
        apply(&server, &spec, SearcherFault::MisleadLoad { busy: 2, queued: 9 });
        let health = get(&client(), url(spec.address, "/v1/health")).await.unwrap();
        let load = get(&client(), url(spec.address, "/v1/load")).await.unwrap();
        assert_eq!(health.status, 503);
        assert_eq!(load.body, json!({"busy": 2, "queued": 9, "slots": 2}));
        let answer: ShardAnswer = search(&client(), &spec, 1).await.unwrap().read();
        assert_eq!(answer.load.queued, 0);
    });
}

#[test]
fn control_port_handles_every_order_and_report() {
    with_server(settings(1), async |server| {
        let order = async |path: &str, body: Value| {
            send(&client(), "POST", url(server.control_address(), path), &body).await.unwrap()
        };
        let scopes = [
            (json!("all"), 110),
            (json!({"service": "board-notes"}), 60),
            (json!({"failure_domain": "tsagaan-0"}), 37),
            (json!({"provider": "alpha"}), 110),
            (json!({"searcher": "trainer-roster.alpha.0"}), 1),
        ];
        for (scope, searchers) in scopes {
            let body = json!({"scope": scope, "fault": "delay", "extra_ms": 0});
            let reply = order("/control/faults", body).await;
            assert_eq!(reply.body, json!({"searchers": searchers}), "{scope}");
        }
        let body = json!({"service": "board-notes", "provider": "alpha", "shards": 12});
        let snapshot = order("/control/snapshots", body).await;
        assert_eq!(snapshot.body, json!({"searchers": 60, "index_version": 2}));
        let outage = order("/control/platform", json!({"fault": "outage", "manner": "closed"}));
        assert_eq!(outage.await.status, 204);
        let wrong = order("/control/faults", json!({"scope": "all", "fault": "none"})).await;
        assert_eq!(wrong.status, 400);
        let spec = searcher(&server, "certificate-registry");
        execute(&client(), &spec, 1).await.unwrap();
        let read = async |path: &str| {
            get(&client(), url(server.control_address(), path)).await.unwrap().body
        };
        assert_eq!(read("/control/executions").await[0]["idempotency_key"], "key-1");
        assert_eq!(read("/control/calls").await.as_array().unwrap().len(), 110);
        assert_eq!(read("/control/searchers").await.as_array().unwrap().len(), 110);
        assert_eq!(read("/control/platform").await["objects"], 115);
    });
}
