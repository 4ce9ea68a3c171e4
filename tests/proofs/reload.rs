//! Reload of settings at run time.

use std::fs;

use crate::support::ProcessFleet;

/// Guards against a SIGHUP that ends the VM, or that discards its settings when the file is invalid
/// or missing.
#[actix_rt::test]
async fn sighup_reloads_settings_and_survives_invalid_files() {
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
