//! Settings that change while a VM serves.

use std::fs;

use crate::support::ProcessFleet;

/// Pattern: the platform sends SIGHUP with a good file, a wrong one and none at all.
#[actix_rt::test]
async fn hangup_reads_settings_again_and_never_ends_the_vm() {
    let path = std::env::temp_dir().join(format!("oleanderwind-reload-{}", std::process::id()));
    fs::write(&path, "address-keep-ms=1000\n").unwrap();
    let mut fleet = ProcessFleet::start("haneul", 0).await;
    fleet.start_vm_with(&["--settings-file", path.to_str().unwrap()]).await;
    fleet.wait_until_ready(0).await;
    let keep = async || {
        let address = fleet.vms[0].address("caller");
        let answer = fleet.caller.get(&address, "/v1/addresses?customer=haneul").await.unwrap();
        answer["keep_ms"].as_u64().unwrap()
    };
    assert_eq!(keep().await, 1_000);
    for (text, wanted) in [("address-keep-ms=2500\n", 2_500), ("address-keep-ms=soon\n", 2_500)] {
        fs::write(&path, text).unwrap();
        fleet.vms[0].signal("HUP");
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        assert_eq!(keep().await, wanted, "{text}");
    }
    fs::remove_file(&path).unwrap();
    fleet.vms[0].signal("HUP");
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    assert_eq!(keep().await, 2_500);
}
