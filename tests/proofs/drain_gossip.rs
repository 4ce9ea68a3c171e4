//! Gossip about a draining target during a platform outage.
//!
//! Guards against VMs that keep calling a draining target because they hear of it neither from the
//! target nor from the platform.

use std::time::Duration;

use oleanderwind_standin::FaultOrder;
use oleanderwind_standin::FaultScope;
use oleanderwind_standin::PlatformFault;
use oleanderwind_standin::SearcherFault;
use oleanderwind_standin::SilenceManner;
use oleanderwind_standin::StandinSettings;

use crate::support::TestFleet;
use crate::support::wait_for;

/// Customer of every request.
const CUSTOMER: &str = "tsagaan-ordon";
/// Time for gossip between peers, below the 3 s that a drain may take to reach every VM.
const GOSSIP_TIME: Duration = Duration::from_secs(1);
/// Searches through each VM after the gossip time.
const SEARCHES_PER_VM: usize = 40;

#[actix_rt::test]
async fn target_drain_reaches_peers_during_a_platform_outage() {
    let fleet = TestFleet::start_converged(StandinSettings::default(), 3).await;
    let search = async |vm: usize| {
        let address = fleet.caller_address(vm);
        fleet.caller.search(&address, CUSTOMER, "trainer-lookup", "board").await.unwrap()
    };
    let targets = fleet.standin.targets();
    let target = targets.iter().find(|spec| &*spec.service == "trainer-roster").unwrap();
    let received = || {
        let calls = fleet.standin.calls();
        calls.into_iter().find(|call| call.searcher == target.target).unwrap().received
    };
    wait_for("every VM calls the target", async || {
        let before = received();
        for vm in 0..3 {
            search(vm).await;
        }
        received() > before
    })
    .await;
    fleet.standin.apply_platform_fault(PlatformFault::Outage { manner: SilenceManner::Silent });
    let order = FaultOrder {
        scope: FaultScope::Searcher(target.target.clone()),
        fault: SearcherFault::Drain { object_lag_ms: 60_000 },
    };
    fleet.standin.apply(&order).unwrap();
    let before = received();
    wait_for("one VM receives the drain signal", async || {
        search(0).await;
        received() > before
    })
    .await;
    tokio::time::sleep(GOSSIP_TIME).await;
    let before = received();
    for _ in 0..SEARCHES_PER_VM {
        for vm in 0..3 {
            search(vm).await;
        }
    }
    assert_eq!(received(), before, "calls to a draining target");
}
