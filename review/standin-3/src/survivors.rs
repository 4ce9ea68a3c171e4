//! Most machines are lost at once; the configuration changes later. Are the machines that are left up to date?

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::changes::Deployment;
use crate::changes::SERVICES;
use crate::record::Record;
use crate::vm::GROWN_SITE;
use crate::vm::Vm;

const VMS: usize = 34;
const DOMAINS: [&str; 2] = ["a", "b"];
/// Machines that are left, both in one zone, which had 17.
const SURVIVORS: usize = 2;
/// `config_ms` of the site.
const CHANGE_LIMIT: Duration = Duration::from_millis(5_000);
/// `stable_window_ms` of the site, and the 3 s that the rule about addresses adds.
const STABLE_WINDOW: Duration = Duration::from_millis(5_000);
const ADDRESS_LIMIT: Duration = Duration::from_millis(5_000 + 3_000);
/// Traffic of the site starts that long after the machines.
const LEAD_TIME: Duration = Duration::from_secs(14);
const VERSION_INTERVAL: Duration = Duration::from_secs(14);
/// Time within which a VM that holds a watch has made a call that waits.
const WATCH_TIME: Duration = Duration::from_secs(12);

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(record, &DOMAINS, 1);
    let doors: Vec<_> = (0..VMS).map(|_| deployment.store.open_door()).collect();
    let mut vms = Vec::new();
    for (number, door) in doors.iter().enumerate() {
        let domain = DOMAINS[number % DOMAINS.len()];
        match Vm::start(GROWN_SITE, folder, &format!("front-{number}"), domain, door.address, true)
        {
            Ok(vm) => vms.push(vm),
            Err(error) => return Verdict::NotRun(format!("a VM does not start: {error}")),
        }
    }
    let ready_by = Instant::now() + Duration::from_secs(25);
    if !vms.iter().all(|vm| vm.wait_ready(ready_by)) {
        return Verdict::NotRun("a VM is not ready".to_owned());
    }
    record.line(&format!("{VMS} VMs are ready"));
    std::thread::sleep(LEAD_TIME);
    let holds_watch = |number: &usize| doors[*number].has_watched(WATCH_TIME);
    let holders: Vec<&str> =
        (0..VMS).filter(holds_watch).map(|number| vms[number].name.as_str()).collect();
    record.line(&format!("watches are held by {}", holders.join(" ")));
    let is_candidate = |number: &usize| vms[*number].domain == DOMAINS[0] && !holds_watch(number);
    let chosen: Vec<usize> = (0..VMS).filter(is_candidate).take(SURVIVORS).collect();
    if chosen.len() < SURVIVORS {
        return Verdict::NotRun("too few VMs hold no watch".to_owned());
    }
    for number in &chosen {
        deployment.send_requests(&vms[*number]);
    }
    std::thread::sleep(Duration::from_secs(1));
    if has_trouble {
        for number in (0..VMS).filter(|number| !chosen.contains(number)) {
            deployment.kill(&mut vms[number]);
        }
    }
    std::thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    for _ in 1..SERVICES.len() {
        deployment.change();
        let end = Instant::now() + VERSION_INTERVAL;
        while Instant::now() < end {
            std::thread::sleep(Duration::from_secs(1));
            for number in &chosen {
                deployment.ask_addresses(&vms[*number], ADDRESS_LIMIT);
            }
        }
    }
    for number in &chosen {
        if !vms[*number].is_running() {
            return Verdict::NotRun(format!("{} ended", vms[*number].name));
        }
    }
    if deployment.judge(CHANGE_LIMIT) { Verdict::Broken } else { Verdict::Held }
}
