//! A request served end to end: stand-ins and three daemons on loopback, in one process.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use oleanderwind::Daemon;
use oleanderwind::DaemonSettings;
use oleanderwind::RawSettings;
use oleanderwind_standin::StandinServer;
use oleanderwind_standin::StandinSettings;
use oleanderwind_wire::AddressAnswer;
use oleanderwind_wire::CallerAnswer;
use serde_json::json;

fn settings(vm: usize, platform: String) -> DaemonSettings {
    let raw = RawSettings {
        vm: Some(format!("vm-{vm}")),
        failure_domain: Some(format!("fd-{vm}")),
        platform: Some(platform),
        caller_listen: Some("127.0.0.1:0".to_owned()),
        admin_listen: Some("127.0.0.1:0".to_owned()),
        peer_listen: Some("127.0.0.1:0".to_owned()),
        ..RawSettings::default()
    };
    DaemonSettings::try_from(&raw).unwrap()
}

async fn wait_until_ready(client: &awc::Client, address: &str) {
    for _ in 0..500 {
        let url = format!("http://{address}/readyz");
        if client.get(url).send().await.is_ok_and(|reply| reply.status().is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{address} never got ready");
}

#[actix_rt::test]
async fn search_covers_the_whole_snapshot() {
    let standin = StandinServer::start(StandinSettings::default()).unwrap();
    let platform = standin.platform_address().to_string();
    let mut daemons = Vec::new();
    for vm in 0..3 {
        daemons.push(Daemon::start(settings(vm, platform.clone())).await.unwrap());
    }
    let client = awc::Client::default();
    let first = daemons[0].addresses().caller.to_string();
    wait_until_ready(&client, &first).await;
    let url = format!("http://{first}/v1/addresses?customer=tsagaan-ordon");
    let addresses: AddressAnswer = client.get(url).send().await.unwrap().json().await.unwrap();
    let url = format!("http://{}/v1/customers/tsagaan-ordon/requests", addresses.addresses[0]);
    let body = json!({"class": "module-finder", "query": "budget"});
    let mut reply = client.post(url).send_json(&body).await.unwrap();
    let answer: CallerAnswer = reply.json().await.unwrap();
    println!("{answer:?}");
    let coverage = answer.coverage.unwrap();
    assert_eq!(coverage.shards_answered, 20);
    assert_eq!(coverage.documents_covered, coverage.documents_total);
}
