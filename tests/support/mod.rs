//! Stand-ins with daemons in one process, and a record of what callers were told.
#![allow(dead_code)] // Each test file uses a part.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use oleanderwind::Daemon;
use oleanderwind::DaemonSettings;
use oleanderwind::RawSettings;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_standin::StandinServer;
use oleanderwind_standin::StandinSettings;
use oleanderwind_wire::CallerAnswer;
use serde_json::json;

/// Customer of the stand-ins' default deployment.
pub(crate) const CUSTOMER: &str = "tsagaan-ordon";
/// Its class that may not be repeated.
pub(crate) const CLASS: &str = "certificate-entry";
/// Longest time that a caller waits for a reply.
const REPLY_TIME: Duration = Duration::from_secs(20);

/// One try of a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Try {
    pub(crate) key: String,
    pub(crate) attempt: u32,
}

/// What a caller was told about a try.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    pub(crate) asked: Try,
    pub(crate) status: u16,
    pub(crate) answer: CallerAnswer,
}

/// Stand-ins and daemons.
pub(crate) struct Fleet {
    pub(crate) standin: StandinServer,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) caller: Caller,
}

/// Sends tries and keeps every answer.
#[derive(Default)]
pub(crate) struct Caller {
    pub(crate) told: RefCell<Vec<Told>>,
    next_key: Cell<u64>,
}

/// Settings of a daemon on free ports.
pub(crate) fn daemon_settings(vm: usize, platform: &str) -> DaemonSettings {
    let free = || Some("127.0.0.1:0".to_owned());
    let raw = RawSettings {
        vm: Some(format!("vm-{vm}")),
        failure_domain: Some(format!("fd-{vm}")),
        platform: Some(platform.to_owned()),
        caller_listen: free(),
        admin_listen: free(),
        peer_listen: free(),
        address_keep_ms: Some("0".to_owned()),
        ..RawSettings::default()
    };
    DaemonSettings::try_from(&raw).unwrap()
}

/// Waits until a VM serves requests.
pub(crate) async fn wait_until_ready(address: &str) {
    let client = awc::Client::default();
    for _ in 0..500 {
        let url = format!("http://{address}/readyz");
        if client.get(url).send().await.is_ok_and(|reply| reply.status().is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{address} never got ready");
}

impl Fleet {
    /// Starts stand-ins and that many daemons.
    pub(crate) async fn start(settings: StandinSettings, vms: usize) -> Fleet {
        let standin = StandinServer::start(settings).unwrap();
        let platform = standin.platform_address().to_string();
        let mut daemons = Vec::new();
        for vm in 0..vms {
            daemons.push(Daemon::start(daemon_settings(vm, &platform)).await.unwrap());
        }
        let fleet = Fleet { standin, daemons, caller: Caller::default() };
        for vm in 0..vms {
            wait_until_ready(&fleet.address(vm)).await;
        }
        fleet
    }

    /// A VM's address for callers.
    pub(crate) fn address(&self, vm: usize) -> String {
        self.daemons[vm].addresses().caller.to_string()
    }

    /// Sends a try to a VM and keeps the answer.
    pub(crate) async fn ask(&self, vm: usize, asked: &Try) -> Told {
        self.caller.ask(&self.address(vm), asked).await.unwrap()
    }

    /// How often targets ran a key.
    pub(crate) fn runs(&self, key: &str) -> usize {
        let executions = self.standin.executions();
        executions.iter().filter(|run| run.idempotency_key == key).count()
    }

    /// Checks all answers against what the targets ran.
    pub(crate) fn check(&self) {
        let runs: Vec<Try> =
            self.standin.executions().iter().map(|run| run_try(&run.body)).collect();
        self.caller.check(&runs);
    }
}

/// The try that an executed body came from.
pub(crate) fn run_try(body: &str) -> Try {
    let (key, attempt) = body.split_once(' ').unwrap();
    Try { key: key.to_owned(), attempt: attempt.parse().unwrap() }
}

impl Caller {
    /// A fresh key's first try.
    pub(crate) fn fresh(&self) -> Try {
        let issued = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        self.next_key.set(self.next_key.get() + 1);
        let key = format!("{}-key{}", issued.as_millis(), self.next_key.get());
        Try { key, attempt: 1 }
    }

    /// Sends a try; `None` when the connection broke.
    pub(crate) async fn ask(&self, address: &str, asked: &Try) -> Option<Told> {
        let url = format!("http://{address}/v1/customers/{CUSTOMER}/requests");
        // The body names the try, so that a run tells which try it came from.
        let body = json!({"class": CLASS, "body": format!("{} {}", asked.key, asked.attempt)});
        let request = awc::Client::builder()
            .timeout(REPLY_TIME)
            .finish()
            .post(url)
            .insert_header(("Idempotency-Key", asked.key.as_str()))
            .insert_header(("Idempotency-Attempt", asked.attempt));
        let mut reply = request.send_json(&body).await.ok()?;
        let status = reply.status().as_u16();
        let answer: CallerAnswer = reply.json().await.ok()?;
        let told = Told { asked: asked.clone(), status, answer };
        self.told.borrow_mut().push(told.clone());
        Some(told)
    }

    /// Checks all answers against the tries that targets ran.
    pub(crate) fn check(&self, runs: &[Try]) {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for run in runs {
            *counts.entry(&run.key).or_default() += 1;
        }
        assert!(counts.values().all(|count| *count == 1), "a key ran twice: {counts:?}");
        for told in self.told.borrow().iter() {
            let run = runs.iter().find(|run| run.key == told.asked.key);
            match told.answer.outcome {
                RequestOutcome::Answered => {
                    assert_eq!(told.answer.ran, RunState::Yes, "{told:?}");
                    assert!(run.is_some(), "answered but never run: {told:?}");
                }
                RequestOutcome::NotRun => {
                    assert_eq!(told.answer.ran, RunState::No, "{told:?}");
                    let is_true = run.is_none_or(|run| run.attempt > told.asked.attempt);
                    assert!(is_true, "not run, but this or an earlier try ran: {told:?}");
                }
                RequestOutcome::Unknown => {
                    assert_eq!(told.answer.ran, RunState::Unknown, "{told:?}");
                }
                RequestOutcome::Partial => panic!("an operation can't be partial: {told:?}"),
            }
        }
    }
}

impl Try {
    /// The next try of the key.
    pub(crate) fn next(&self) -> Try {
        Try { key: self.key.clone(), attempt: self.attempt + 1 }
    }
}

impl Told {
    /// Outcome and reason.
    pub(crate) fn verdict(&self) -> (RequestOutcome, Option<&str>) {
        let reason = self.answer.refusal.as_ref().map(|refusal| refusal.reason.as_str());
        (self.answer.outcome, reason)
    }
}
