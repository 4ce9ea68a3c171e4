//! Machines are removed for good and replaced by others, some at a time. Then the configuration changes. Are the machines
//! up to date?

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::changes::Deployment;
use crate::changes::SERVICES;
use crate::record::Record;
use crate::vm::SMALL_SITE;
use crate::vm::Vm;
use crate::wire;

/// Zones of the machines, as in the site.
const MACHINES: [&str; 7] = ["a", "a", "b", "b", "c", "c", "d"];
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// How often each machine is replaced.
const ROUNDS: usize = 8;
/// Pause after each step, so that steps are as far apart as those of the planned restarts of the site (1.3 s).
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(900);
const REGISTRATION_LIMIT: Duration = Duration::from_secs(10);
/// `config_ms` of the site.
const CHANGE_LIMIT: Duration = Duration::from_millis(3_000);
/// `stable_window_ms` of the site, and the 3 s that the rule about addresses adds.
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
const ADDRESS_LIMIT: Duration = Duration::from_millis(4_000 + 3_000);
const VERSION_INTERVAL: Duration = Duration::from_secs(11);

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(record, &DOMAINS, 1);
    let address = deployment.store.open_door().address;
    let mut vms = Vec::new();
    for (number, domain) in MACHINES.iter().enumerate() {
        match Vm::start(SMALL_SITE, folder, &format!("front-0-{number}"), domain, address, true) {
            Ok(vm) => vms.push(vm),
            Err(error) => return Verdict::NotRun(format!("a VM does not start: {error}")),
        }
    }
    let ready_by = Instant::now() + Duration::from_secs(15);
    if !vms.iter().all(|vm| vm.wait_ready(ready_by)) {
        return Verdict::NotRun("a VM is not ready".to_owned());
    }
    record.line(&format!("{} VMs are ready", vms.len()));
    let rounds = if has_trouble { ROUNDS } else { 0 };
    for round in 1..=rounds {
        for domain in DOMAINS {
            let numbers = (0..MACHINES.len()).filter(|number| MACHINES[*number] == domain);
            let numbers: Vec<usize> = numbers.collect();
            for number in &numbers {
                deployment.kill(&mut vms[*number]);
                let name = format!("front-{round}-{number}");
                match Vm::start(SMALL_SITE, folder, &name, domain, address, false) {
                    Ok(vm) => vms[*number] = vm,
                    Err(error) => return Verdict::NotRun(format!("a VM does not start: {error}")),
                }
                record.line(&format!("{name} takes its place at a new address"));
            }
            let end = Instant::now() + REGISTRATION_LIMIT;
            let list = wire::name("vm_list");
            let is_listed = |number: &usize| deployment.store.has(list, &vms[*number].name);
            while !numbers.iter().all(is_listed) {
                if Instant::now() > end {
                    return Verdict::NotRun("a VM does not register".to_owned());
                }
                std::thread::sleep(Duration::from_millis(10));
            }
            std::thread::sleep(REPLACEMENT_INTERVAL);
        }
    }
    let ready_by = Instant::now() + Duration::from_secs(20);
    if !vms.iter().all(|vm| vm.wait_ready(ready_by)) {
        return Verdict::NotRun("a VM is not ready after the replacements".to_owned());
    }
    record.line("all VMs are ready");
    for vm in &vms {
        deployment.send_requests(vm);
    }
    std::thread::sleep(STABLE_WINDOW + Duration::from_secs(2));
    for _ in 1..SERVICES.len() {
        deployment.change();
        let end = Instant::now() + VERSION_INTERVAL;
        while Instant::now() < end {
            std::thread::sleep(Duration::from_secs(1));
            for vm in &vms {
                deployment.ask_addresses(vm, ADDRESS_LIMIT);
            }
        }
    }
    for vm in &mut vms {
        if !vm.is_running() {
            return Verdict::NotRun(format!("{} ended", vm.name));
        }
    }
    if deployment.judge(CHANGE_LIMIT) { Verdict::Broken } else { Verdict::Held }
}
