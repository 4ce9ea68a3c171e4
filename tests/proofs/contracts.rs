//! Edits of contracts.
//!
//! Guards against an accepted edit that is lost or does not take effect on every VM, and against
//! an edit that is written although its operator was told otherwise.

use oleanderwind_standin::PlatformFault;
use oleanderwind_standin::SilenceManner;
use oleanderwind_standin::StandinSettings;
use oleanderwind_wire::ContractDocument;
use oleanderwind_wire::ContractEdit;
use oleanderwind_wire::EditReport;
use oleanderwind_wire::EditVerdict;
use oleanderwind_wire::HistoryEntry;

use crate::support::TestFleet;
use crate::support::wait_for;

/// Path of the edited contract.
const CONTRACT_PATH: &str = "/v1/contracts/tsagaan-ordon";

impl TestFleet {
    async fn contract(&self, vm: usize) -> Option<ContractDocument> {
        let value = self.caller.get(&self.admin_address(vm), CONTRACT_PATH).await?;
        serde_json::from_value(value).ok()
    }

    /// Edits the rate limit of `base` through one VM.
    async fn set_rate(&self, vm: usize, base: &ContractDocument, rate: f64) -> EditReport {
        let mut contract = base.contract.clone();
        contract.requests_per_second = rate;
        let edit = ContractEdit {
            expected_revision: Some(base.revision),
            operator: format!("operator of vm-{vm}"),
            contract: serde_json::to_value(&contract).unwrap(),
        };
        let body = serde_json::to_value(&edit).unwrap();
        let reply = self.caller.put(&self.admin_address(vm), CONTRACT_PATH, &body).await;
        serde_json::from_value(reply.unwrap()).unwrap()
    }

    /// Returns the rate limit that is in force on a VM.
    async fn rate_in_force(&self, vm: usize) -> Option<f64> {
        let list = self.caller.get(&self.admin_address(vm), "/v1/contracts").await?;
        let list: Vec<ContractDocument> = serde_json::from_value(list).ok()?;
        Some(list.first()?.contract.requests_per_second)
    }

    async fn wait_for_rate(&self, rate: f64) {
        for vm in 0..self.vms.len() {
            wait_for("the rate is in force", async || self.rate_in_force(vm).await == Some(rate))
                .await;
        }
    }
}

#[actix_rt::test]
async fn put_contract_accepts_one_of_two_concurrent_edits() {
    let fleet = TestFleet::start(StandinSettings::default(), 3).await;
    let base = fleet.contract(0).await.unwrap();
    let (first, second) = futures_util::future::join(
        fleet.set_rate(0, &base, 111.0),
        fleet.set_rate(1, &base, 222.0),
    )
    .await;
    let (winner, loser, rate) = match first.verdict {
        EditVerdict::Accepted => (first, second, 111.0),
        _ => (second, first, 222.0),
    };
    assert_eq!(winner.verdict, EditVerdict::Accepted);
    assert_eq!(loser.verdict, EditVerdict::Conflict);
    let shown = loser.current.unwrap();
    assert_eq!(shown.contract.requests_per_second, rate, "a conflict shows the accepted edit");
    fleet.wait_for_rate(rate).await;
}

#[actix_rt::test]
async fn put_contract_reads_back_after_a_lost_write_reply() {
    for manner in [SilenceManner::Closed, SilenceManner::Silent] {
        let fleet = TestFleet::start(StandinSettings::default(), 2).await;
        let base = fleet.contract(0).await.unwrap();
        fleet.standin.apply_platform_fault(PlatformFault::LoseWriteReplies { count: 1, manner });
        let report = fleet.set_rate(0, &base, 333.0).await;
        assert_eq!(report.verdict, EditVerdict::Accepted, "{manner:?}: {}", report.advice);
        fleet.wait_for_rate(333.0).await;
        let history = format!("{CONTRACT_PATH}/history");
        let entries = fleet.caller.get(&fleet.admin_address(1), &history).await.unwrap();
        let entries: Vec<HistoryEntry> = serde_json::from_value(entries).unwrap();
        assert_eq!(entries[0].token, report.token);
    }
}

#[actix_rt::test]
async fn put_contract_writes_nothing_during_an_outage() {
    let fleet = TestFleet::start(StandinSettings::default(), 2).await;
    let base = fleet.contract(0).await.unwrap();
    let before = fleet.rate_in_force(0).await.unwrap();
    let fault = PlatformFault::Outage { manner: SilenceManner::Closed };
    fleet.standin.apply_platform_fault(fault);
    let report = fleet.set_rate(0, &base, 444.0).await;
    assert_eq!(report.verdict, EditVerdict::NotWritten);
    fleet.standin.apply_platform_fault(PlatformFault::Clear);
    assert_eq!(fleet.contract(1).await.unwrap().revision, base.revision);
    assert_eq!(fleet.rate_in_force(0).await, Some(before));
}

#[actix_rt::test]
async fn put_contract_reports_every_finding() {
    let fleet = TestFleet::start(StandinSettings::default(), 1).await;
    let mut base = fleet.contract(0).await.unwrap();
    base.contract.extra_load_permille = 5_000;
    let report = fleet.set_rate(0, &base, -1.0).await;
    assert_eq!(report.verdict, EditVerdict::Invalid);
    let places: Vec<&str> = report.findings.iter().map(|found| found.place.as_str()).collect();
    assert_eq!(places, ["requests_per_second", "extra_load_permille"]);
}
