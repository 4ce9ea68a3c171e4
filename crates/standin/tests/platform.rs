//! Tests of the Object API: conditional updates, watches, limits and outages.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use futures_util::StreamExt;
use oleanderwind_standin::CallKind;
use oleanderwind_standin::PlatformFault;
use oleanderwind_standin::SilenceManner;
use oleanderwind_standin::StandinServer;
use oleanderwind_standin::StandinSettings;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::ObjectList;
use oleanderwind_wire::WatchEvent;
use oleanderwind_wire::WatchKind;
use serde_json::Value;
use serde_json::json;

use support::TestReply;
use support::client;
use support::get;
use support::object_url;
use support::send;
use support::settings;
use support::short_timeout_client;
use support::with_server;

/// Creates an object.
async fn create(server: &StandinServer, kind: &str, name: &str) -> TestReply {
    let body = json!({"metadata": {"name": name}, "spec": {"step": 0}});
    send(&client(), "POST", object_url(server, kind), &body).await.unwrap()
}

/// Updates an object, naming the given version.
async fn update(server: &StandinServer, path: &str, version: &str, step: u32) -> TestReply {
    let name = path.rsplit('/').next().unwrap();
    let body = json!({
        "metadata": {"name": name, "resourceVersion": version},
        "spec": {"step": step},
    });
    send(&client(), "PUT", object_url(server, path), &body).await.unwrap()
}

/// Returns all events of a watch with a time-out of 0.
async fn watch(server: &StandinServer, kind: &str, version: u64) -> Vec<WatchEvent> {
    let path = format!("{kind}?watch=1&resourceVersion={version}&timeoutSeconds=0");
    let mut reply = client().get(object_url(server, &path)).send().await.unwrap();
    let body = reply.body().await.unwrap();
    let lines = body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    lines.map(|line| serde_json::from_slice(line).unwrap()).collect()
}

#[test]
fn create_rejects_an_existing_name() {
    with_server(settings(1), async |server| {
        assert_eq!(create(&server, "ledger", "one").await.status, 201);
        let second = create(&server, "ledger", "one").await;
        assert_eq!((second.status, &second.body["reason"]), (409, &json!("AlreadyExists")));
    });
}

#[test]
fn update_requires_the_current_version() {
    with_server(settings(1), async |server| {
        let created: ObjectDocument = create(&server, "ledger", "one").await.read();
        let version = created.metadata.resource_version;
        let first = update(&server, "ledger/one", &version, 1).await;
        let second = update(&server, "ledger/one", &version, 2).await;
        assert_eq!(first.status, 200);
        assert_eq!((second.status, &second.body["reason"]), (409, &json!("Conflict")));
        assert_eq!(second.body["current"]["spec"]["step"], 1);
        assert_eq!(update(&server, "ledger/one", "", 3).await.status, 400);
        let read: ObjectDocument =
            get(&client(), object_url(&server, "ledger/one")).await.unwrap().read();
        assert_eq!(read.spec["step"], 1);
    });
}

#[test]
fn delete_requires_the_named_version() {
    with_server(settings(1), async |server| {
        let created: ObjectDocument = create(&server, "ledger", "one").await.read();
        let version = created.revision();
        let delete = async |named: u64| {
            let path = format!("ledger/one?resourceVersion={named}");
            send(&client(), "DELETE", object_url(&server, &path), &Value::Null).await.unwrap()
        };
        assert_eq!(delete(version - 1).await.status, 409);
        assert_eq!(delete(version).await.status, 200);
        assert_eq!(delete(version).await.status, 404);
    });
}

#[test]
fn create_rejects_an_object_over_one_mebibyte() {
    with_server(settings(1), async |server| {
        let send_sized = async |bytes: usize| {
            let body = json!({"metadata": {"name": "big"}, "spec": "x".repeat(bytes)});
            send(&client(), "POST", object_url(&server, "ledger"), &body).await.unwrap().status
        };
        assert_eq!(send_sized(1 << 20).await, 413);
        assert_eq!(send_sized((1 << 20) - 1_024).await, 201);
    });
}

#[test]
fn watch_streams_changes_then_a_bookmark() {
    with_server(settings(1), async |server| {
        let start = server.platform_report().version;
        server.put_object("ledger", "one", &1);
        server.put_object("other", "two", &2);
        server.put_object("ledger", "one", &3);
        let events = watch(&server, "ledger", start).await;
        let kinds: Vec<WatchKind> = events.iter().map(|event| event.kind).collect();
        assert_eq!(kinds, [WatchKind::Added, WatchKind::Modified, WatchKind::Bookmark]);
        let versions: Vec<u64> = events.iter().map(|event| event.object.revision()).collect();
        assert_eq!(versions, [start + 1, start + 3, start + 3]);
    });
}

#[test]
fn watch_waits_for_a_change_and_is_counted_once() {
    with_server(settings(1), async |server| {
        let url = object_url(&server, "ledger?watch=1&timeoutSeconds=600");
        let client = client();
        let mut reply = client.get(url).send().await.unwrap();
        assert_eq!(server.platform_report().open_watches, 1);
        server.put_object("ledger", "one", &1);
        let line = reply.next().await.unwrap().unwrap();
        let event: WatchEvent = serde_json::from_slice(&line).unwrap();
        assert_eq!((event.kind, event.object.spec), (WatchKind::Added, json!(1)));
        let calls = server.platform_report().calls;
        let watches = calls.iter().find(|call| call.call == CallKind::Watch).unwrap();
        assert_eq!((watches.kind.as_str(), watches.count), ("ledger", 1));
    });
}

#[test]
fn watch_rejects_a_version_older_than_the_history() {
    let settings = StandinSettings { history_limit: 3, ..settings(1) };
    with_server(settings, async |server| {
        let start = server.platform_report().version;
        (0..4).for_each(|step| server.put_object("ledger", "one", &step));
        let path = format!("ledger?watch=1&resourceVersion={start}&timeoutSeconds=0");
        let reply = get(&client(), object_url(&server, &path)).await.unwrap();
        assert_eq!((reply.status, &reply.body["reason"]), (410, &json!("Expired")));
        assert_eq!(watch(&server, "ledger", start + 1).await.len(), 4);
    });
}

#[test]
fn watch_rejects_a_version_evicted_by_large_objects() {
    with_server(settings(1), async |server| {
        let start = server.platform_report().version;
        let large = "x".repeat(1 << 20);
        (0..64).for_each(|_| server.put_object("ledger", "one", &large));
        let path = format!("ledger?watch=1&resourceVersion={start}&timeoutSeconds=0");
        let reply = get(&client(), object_url(&server, &path)).await.unwrap();
        assert_eq!(reply.status, 410);
    });
}

#[test]
fn write_takes_effect_although_its_reply_is_lost() {
    for mode in [SilenceManner::Closed, SilenceManner::Silent] {
        with_server(settings(1), async |server| {
            server.apply_platform_fault(PlatformFault::LoseWriteReplies { count: 1, manner: mode });
            let body = json!({"metadata": {"name": "one"}, "spec": 1});
            let url = object_url(&server, "ledger");
            let lost = send(&short_timeout_client(), "POST", url, &body).await;
            assert!(lost.is_none(), "{mode:?}: {lost:?}");
            let read = get(&client(), object_url(&server, "ledger/one")).await.unwrap();
            assert_eq!(read.status, 200, "{mode:?}");
            assert_eq!(create(&server, "ledger", "two").await.status, 201, "{mode:?}");
        });
    }
}

#[test]
fn outage_refuses_calls_or_stays_silent_until_it_ends() {
    with_server(settings(1), async |server| {
        let url = object_url(&server, "contracts");
        server.apply_platform_fault(PlatformFault::Outage { manner: SilenceManner::Closed });
        assert_eq!(get(&client(), url.clone()).await.unwrap().status, 503);
        server.apply_platform_fault(PlatformFault::Outage { manner: SilenceManner::Silent });
        assert!(get(&short_timeout_client(), url.clone()).await.is_none());
        server.apply_platform_fault(PlatformFault::Clear);
        assert_eq!(get(&client(), url).await.unwrap().status, 200);
    });
}

#[test]
fn outage_ends_an_open_watch() {
    with_server(settings(1), async |server| {
        let client = client();
        let url = object_url(&server, "ledger?watch=1&timeoutSeconds=600");
        let mut reply = client.get(url).send().await.unwrap();
        server.apply_platform_fault(PlatformFault::Outage { manner: SilenceManner::Closed });
        assert!(reply.next().await.is_none());
        assert_eq!(server.platform_report().open_watches, 0);
    });
}

#[test]
fn slow_platform_delays_replies() {
    with_server(settings(1), async |server| {
        let url = object_url(&server, "contracts");
        server.apply_platform_fault(PlatformFault::Slow { extra_ms: support::FOREVER_MS });
        assert!(get(&short_timeout_client(), url.clone()).await.is_none());
        server.apply_platform_fault(PlatformFault::Slow { extra_ms: 1 });
        assert_eq!(get(&client(), url).await.unwrap().status, 200);
    });
}

#[test]
fn writes_beyond_the_rate_limit_are_refused() {
    let settings = StandinSettings { writes_per_second: Some(2), ..settings(1) };
    with_server(settings, async |server| {
        let mut refused = 0;
        for number in 0..20 {
            let reply = create(&server, "ledger", &format!("object-{number}")).await;
            refused += u64::from(reply.status == 429);
        }
        assert!(refused > 0);
        assert_eq!(server.platform_report().rate_limited, refused);
        assert_eq!(get(&client(), object_url(&server, "ledger")).await.unwrap().status, 200);
    });
}

#[test]
fn vm_list_lags_and_other_kinds_do_not() {
    let lag = Duration::from_millis(support::FOREVER_MS);
    for (lag, visible) in [(lag, 0), (Duration::ZERO, 1)] {
        let settings = StandinSettings { vm_list_lag: lag, ..settings(1) };
        with_server(settings, async |server| {
            let start = server.platform_report().version;
            server.put_object("vms", "vm-1", &json!({"phase": "live"}));
            server.put_object("ledger", "one", &1);
            let list = async |kind| -> ObjectList {
                get(&client(), object_url(&server, kind)).await.unwrap().read()
            };
            assert_eq!(list("vms").await.items.len(), visible);
            assert_eq!(list("ledger").await.items.len(), 1);
            let read = get(&client(), object_url(&server, "vms/vm-1")).await.unwrap();
            assert_eq!(read.status, if visible == 0 { 404 } else { 200 });
            assert_eq!(watch(&server, "vms", start).await.len(), visible + 1);
        });
    }
}
