//! A machine that reaches no searcher passes its requests on to peers, one of which the store has turned away. Do its
//! clients see it go back to an older version?

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::changes::Deployment;
use crate::link;
use crate::link::Cut;
use crate::record::Record;
use crate::vm::SMALL_SITE;
use crate::vm::Vm;

const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// `rollback_slack_ms` of the site.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// `stable_window_ms` of the site, and more.
const LEAD_TIME: Duration = Duration::from_secs(10);
/// Clients of the machine that is cut off.
const CLIENTS: usize = 6;

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(record, &DOMAINS, 2);
    let cut = Cut::default();
    let links = deployment
        .searcher_addresses()
        .into_iter()
        .map(|address| (format!("\"{address}\""), format!("\"{}\"", link::open(address, &cut))));
    let links: Vec<(String, String)> = links.collect();
    let doors = [
        deployment.store.open_door_with(links),
        deployment.store.open_door(),
        deployment.store.open_door(),
    ];
    let mut vms = Vec::new();
    for (number, door) in doors.iter().enumerate() {
        let name = format!("front-{number}");
        match Vm::start(SMALL_SITE, folder, &name, DOMAINS[number], door.address, true) {
            Ok(vm) => vms.push(vm),
            Err(error) => return Verdict::NotRun(format!("a VM does not start: {error}")),
        }
    }
    let ready_by = Instant::now() + Duration::from_secs(25);
    if !vms.iter().all(|vm| vm.wait_ready(ready_by)) {
        return Verdict::NotRun("a VM is not ready".to_owned());
    }
    record.line("3 VMs are ready");
    std::thread::sleep(LEAD_TIME);
    for _ in 0..CLIENTS {
        deployment.send_requests(&vms[0]);
    }
    std::thread::sleep(Duration::from_secs(2));
    if has_trouble {
        cut.set(true);
        record.line("front-0 is cut off from all searchers");
    }
    std::thread::sleep(Duration::from_secs(3));
    if has_trouble {
        doors[1].set_silent(true);
        record.line("the store answers no call of front-1");
    }
    std::thread::sleep(Duration::from_secs(1));
    deployment.change();
    std::thread::sleep(Duration::from_secs(4));
    deployment.change();
    std::thread::sleep(Duration::from_secs(4));
    doors[1].set_silent(false);
    cut.set(false);
    record.line("front-0 and front-1 are served again");
    std::thread::sleep(Duration::from_secs(2));
    for vm in &mut vms {
        if !vm.is_running() {
            return Verdict::NotRun(format!("{} ended", vm.name));
        }
    }
    if deployment.judge_rollback(ROLLBACK_SLACK) { Verdict::Broken } else { Verdict::Held }
}
