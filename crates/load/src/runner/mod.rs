//! Open-loop load runner: sends each request at its intended time, however slow the tier is.

mod settings;
mod tallies;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use eyre::Context;
use oleanderwind_policy::CustomerContract;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub use settings::RunSettings;

use crate::AddressBook;
use crate::AnswerCheck;
use crate::ArrivalPlan;
use crate::CallFailure;
use crate::CallReply;
use crate::DeploymentName;
use crate::LoadCounters;
use crate::PlannedRequest;
use crate::ProcessUsage;
use crate::REPORT_VERSION;
use crate::RequestSample;
use crate::RunReport;
use crate::TierCaller;
use crate::caller::CallRequest;
use crate::runner::tallies::RunTallies;

/// Upper bound on the `retry_after_ms` that a caller honors before it repeats a keyed request.
const MAX_REPEAT_WAIT: Duration = Duration::from_secs(1);

/// Maximum size of a VM's `/metrics` response, in bytes.
const MAX_METRICS_BYTES: usize = 8 << 20;

/// State shared by all requests of a run.
struct RunContext {
    id: String,
    start: Instant,
    callers: Vec<(DeploymentName, Vec<TierCaller>)>,
    tallies: RefCell<RunTallies>,
    permits: Semaphore,
    overflowed: Cell<u64>,
}

/// Sends the load described by `settings` and returns the measurements.
///
/// Must be called within an actix runtime.
///
/// # Errors
///
/// Returns an error if the metrics of a VM or the usage of a watched process cannot be read, or if
/// a latency histogram cannot be created.
pub async fn run_load(
    settings: &RunSettings,
    contracts: &[CustomerContract],
) -> eyre::Result<RunReport> {
    let processes = read_processes(&settings.pids)?;
    let counters = read_counters(&settings.metrics_addresses).await?;
    let context = Rc::new(RunContext::new(settings, contracts)?);
    let progress =
        tokio::task::spawn_local(print_progress(context.clone(), settings.progress_interval()));
    send_all(&context, settings).await;
    progress.abort();
    let elapsed = context.start.elapsed();
    let later = read_counters(&settings.metrics_addresses).await?;
    let after = read_processes(&settings.pids)?;
    Ok(RunReport {
        version: REPORT_VERSION,
        settings: settings.clone(),
        elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        overflowed: context.overflowed.get(),
        reconnects: context.reconnects(),
        customers: context.tallies.borrow().report(contracts, &counters, &later),
        processes: after.iter().zip(&processes).map(|(now, then)| now.since(then)).collect(),
    })
}

/// Starts every request at its intended time, then waits until all of them have finished.
async fn send_all(context: &Rc<RunContext>, settings: &RunSettings) {
    let mut tasks = JoinSet::new();
    for request in ArrivalPlan::new(settings.arrivals()) {
        tokio::time::sleep_until(context.start + request.at).await;
        tasks.spawn_local(run_request(context.clone(), request));
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
}

/// Sends one request, checks and records the reply, and repeats an unanswered request if the plan
/// says so.
async fn run_request(context: Rc<RunContext>, planned: PlannedRequest) {
    if context.permits.available_permits() == 0 {
        context.overflowed.set(context.overflowed.get() + 1);
    }
    let Ok(_permit) = context.permits.acquire().await else {
        return;
    };
    let request = context.first_attempt(&planned);
    let caller = context.caller(&planned);
    let reply = caller.send(&request).await;
    let sample = take_sample(&request, &reply, context.start + planned.at);
    context.tallies.borrow_mut().record(&planned, &sample);
    if !planned.repeats || sample.is_answered() {
        return;
    }
    let wait_ms = reply.ok().and_then(|reply| reply.answer.retry_after_ms).unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(wait_ms).min(MAX_REPEAT_WAIT)).await;
    let request = CallRequest { attempt: request.attempt + 1, ..request };
    let sent_at = Instant::now();
    let reply = caller.send(&request).await;
    let sample = take_sample(&request, &reply, sent_at);
    context.tallies.borrow_mut().record_repeat(&planned, &sample);
}

/// Checks a reply and measures its latency from `intended`, the intended send time.
fn take_sample(
    request: &CallRequest,
    reply: &Result<CallReply, CallFailure>,
    intended: Instant,
) -> RequestSample {
    let latency = intended.elapsed();
    match reply {
        Ok(reply) => {
            let check =
                AnswerCheck { request_id: request.id.clone(), operation: request.operation };
            let faults = check.faults(reply.status, &reply.answer);
            if !faults.is_empty() {
                log::warn!("request {}: wrong answer: {faults:?}", request.id);
            }
            RequestSample {
                outcome: Some(reply.answer.outcome),
                latency,
                coverage: reply.answer.coverage,
                is_wrong: !faults.is_empty(),
            }
        }
        Err(failure) => {
            log::warn!("request {}: {failure}", request.id);
            let is_wrong = matches!(failure, CallFailure::Unreadable(_));
            RequestSample { outcome: None, latency, coverage: None, is_wrong }
        }
    }
}

impl RunContext {
    /// Creates the state of a run that starts now.
    fn new(settings: &RunSettings, contracts: &[CustomerContract]) -> eyre::Result<RunContext> {
        let make_callers = |deployment: &DeploymentName| {
            let make = |index| {
                let book = AddressBook::new(settings.seed_addresses.clone(), index);
                TierCaller::new(deployment.customer(), book, settings.timeout())
            };
            (*deployment, (0..settings.callers).map(make).collect())
        };
        // Two runs may use the same seed but must not reuse idempotency keys, so the run id, which
        // is part of each key, contains the start time.
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(RunContext {
            id: format!("{:x}-{:x}", started_at.as_nanos(), std::process::id()),
            start: Instant::now(),
            callers: settings.deployments.iter().map(make_callers).collect(),
            tallies: RefCell::new(RunTallies::new(settings, contracts)?),
            permits: Semaphore::new(settings.concurrency),
            overflowed: Cell::new(0),
        })
    }

    /// Builds the first attempt of a planned request, with an id and a key that are unique to it.
    fn first_attempt(&self, planned: &PlannedRequest) -> CallRequest {
        CallRequest {
            id: format!("{}-{}", self.id, planned.number),
            class: planned.share.class,
            operation: planned.share.operation,
            text: format!("text {}", planned.query),
            issued_at: SystemTime::now(),
            attempt: 1,
        }
    }

    /// Selects the caller of the planned request's deployment, round-robin by request number.
    fn caller(&self, planned: &PlannedRequest) -> &TierCaller {
        let (_, callers) = self
            .callers
            .iter()
            .find(|(deployment, _)| *deployment == planned.deployment)
            .unwrap_or(&self.callers[0]);
        &callers[planned.number as usize % callers.len()]
    }

    /// Returns the total number of reconnects of all callers.
    fn reconnects(&self) -> u64 {
        let callers = self.callers.iter().flat_map(|(_, callers)| callers);
        callers.map(TierCaller::reconnects).sum()
    }
}

/// Prints a progress line to standard error once per interval, until the task is aborted.
async fn print_progress(context: Rc<RunContext>, interval: Duration) {
    loop {
        tokio::time::sleep(interval).await;
        let counts = context.tallies.borrow().totals();
        eprintln!(
            "{:.0} s: {} done, {} not run, {} unknown, {} cut, {} missed, {} wrong, {} overflowed",
            context.start.elapsed().as_secs_f64(),
            counts.sent,
            counts.not_run,
            counts.unknown,
            counts.connection_errors,
            counts.deadline_misses,
            counts.wrong_answers,
            context.overflowed.get()
        );
    }
}

/// Reads the usage of every watched process.
fn read_processes(pids: &[u32]) -> eyre::Result<Vec<ProcessUsage>> {
    let read = |pid: &u32| {
        ProcessUsage::read(*pid).wrap_err_with(|| format!("process {pid} can't be read"))
    };
    pids.iter().map(read).collect()
}

/// Reads the extra-load counters of every VM and sums them.
async fn read_counters(addresses: &[String]) -> eyre::Result<LoadCounters> {
    let mut total = LoadCounters::default();
    for address in addresses {
        let url = format!("http://{address}/metrics");
        let mut response = awc::Client::default()
            .get(url)
            .send()
            .await
            .map_err(|error| eyre::eyre!("metrics of {address} can't be read: {error}"))?;
        let status = response.status();
        eyre::ensure!(status.is_success(), "metrics of {address} can't be read: HTTP {status}");
        let body = response
            .body()
            .limit(MAX_METRICS_BYTES)
            .await
            .wrap_err("metrics response is incomplete or too large")?;
        total.add(&LoadCounters::parse(&String::from_utf8_lossy(&body))?);
    }
    Ok(total)
}
