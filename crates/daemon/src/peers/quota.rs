//! Quotas of organisations: admission at this VM, and tokens for the others.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use oleanderwind_policy::MemberPhase;
use oleanderwind_policy::MemberState;
use oleanderwind_policy::OrganisationId;
use oleanderwind_policy::QuotaAnswer;
use oleanderwind_policy::QuotaDecision;
use oleanderwind_policy::QuotaGrant;
use oleanderwind_policy::QuotaHolder;
use oleanderwind_policy::QuotaRefusal;
use oleanderwind_policy::QuotaRole;
use oleanderwind_policy::QuotaTable;
use oleanderwind_policy::QuotaToken;
use oleanderwind_policy::QuotaVm;
use oleanderwind_policy::RequestQuota;
use oleanderwind_policy::VmId;
use oleanderwind_wire::peer::QuotaReply;
use oleanderwind_wire::peer::QuotaRequest;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::peers::service::PeerService;
use crate::settings::DaemonSettings;

/// Longest time for which a request waits for the holder of its quota, then this VM decides alone.
const MAX_WAIT: Duration = Duration::from_millis(140);
/// Maximum number of times that a request waits for an answer of the holder.
const MAX_WAITS: usize = 3;
/// Time for which a VM that did not answer is not asked.
const REST_TIME: Duration = Duration::from_millis(200);

/// Minimum time between two probes of VMs that have not been heard from.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Whether a request is within its organisation's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QuotaAdmission {
    /// It is; the token is to be given back if nothing of the request runs.
    Admitted(QuotaToken),
    /// It is not.
    Refused(QuotaRefusal),
}

/// Quotas at one VM.
pub(crate) struct QuotaState {
    holder: QuotaHolder,
    table: QuotaTable,
    /// Requests that wait for an answer of a holder, by organisation.
    waiting: HashMap<OrganisationId, Rc<Notify>>,
    /// VMs that did not answer.
    resting: HashMap<VmId, Instant>,
    /// When a VM was last probed that has not been heard from.
    probed_at: Option<Instant>,
}

impl QuotaState {
    pub(crate) fn new(settings: &DaemonSettings) -> QuotaState {
        let (now, wall) = (Instant::now(), SystemTime::now());
        QuotaState {
            holder: QuotaHolder::new(settings.quota, settings.vm.clone(), now, wall),
            table: QuotaTable::new(settings.quota),
            waiting: HashMap::new(),
            resting: HashMap::new(),
            probed_at: None,
        }
    }
}

/// Admission.
impl PeerService {
    /// Admits a request of an organisation, or refuses it as its quota is exhausted.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        organisation: &OrganisationId,
        quota: RequestQuota,
    ) -> QuotaAdmission {
        let end = Instant::now() + MAX_WAIT;
        if !self.quotas.borrow().holder.has_view() {
            self.refresh_quota_view();
        }
        let mut decision = {
            let (now, wall) = (Instant::now(), SystemTime::now());
            let mut quotas = self.quotas.borrow_mut();
            let share = quotas.holder.reach().own;
            quotas.table.admit(organisation, quota, share, now, wall)
        };
        for _ in 0..MAX_WAITS {
            self.draw_tokens(organisation, quota);
            match decision {
                QuotaDecision::Admitted(token) => return QuotaAdmission::Admitted(token),
                QuotaDecision::Refused(refusal) => return QuotaAdmission::Refused(refusal),
                QuotaDecision::Waits => {}
            }
            let answered = self.quota_answer(organisation);
            let left = end.saturating_duration_since(Instant::now());
            if timeout(left, answered.notified()).await.is_err() {
                break;
            }
            decision = {
                let (now, wall) = (Instant::now(), SystemTime::now());
                let mut quotas = self.quotas.borrow_mut();
                let share = quotas.holder.reach().own;
                quotas.table.decide(organisation, share, now, wall)
            };
        }
        self.decide_alone(organisation, decision)
    }

    /// Takes back the token of a request of which nothing ran.
    pub(crate) fn give_back(&self, organisation: &OrganisationId, token: QuotaToken) {
        let (now, wall) = (Instant::now(), SystemTime::now());
        self.quotas.borrow_mut().table.give_back(organisation, token, now, wall);
    }

    /// Decides on a request that has waited long enough.
    fn decide_alone(&self, organisation: &OrganisationId, last: QuotaDecision) -> QuotaAdmission {
        let (now, wall) = (Instant::now(), SystemTime::now());
        let mut quotas = self.quotas.borrow_mut();
        let share = quotas.holder.reach().own;
        let decision = match last {
            QuotaDecision::Waits => quotas.table.decide_alone(organisation, share, now, wall),
            QuotaDecision::Admitted(_) | QuotaDecision::Refused(_) => last,
        };
        match decision {
            QuotaDecision::Admitted(token) => QuotaAdmission::Admitted(token),
            QuotaDecision::Refused(refusal) => QuotaAdmission::Refused(refusal),
            QuotaDecision::Waits => QuotaAdmission::Refused(QuotaRefusal::UNKNOWN),
        }
    }

    fn quota_answer(&self, organisation: &OrganisationId) -> Rc<Notify> {
        let mut quotas = self.quotas.borrow_mut();
        match quotas.waiting.get(organisation) {
            Some(answered) => answered.clone(),
            None => {
                let answered = Rc::new(Notify::new());
                quotas.waiting.insert(organisation.clone(), answered.clone());
                answered
            }
        }
    }

    /// Asks the holder for tokens if any are needed and none are asked for.
    fn draw_tokens(self: &Rc<Self>, organisation: &OrganisationId, quota: RequestQuota) {
        let now = Instant::now();
        let wanted = self.quotas.borrow_mut().table.start_asking(organisation, now);
        if let Some(wanted) = wanted {
            let peers = self.clone();
            let organisation = organisation.clone();
            actix_rt::spawn(async move { peers.ask_for_tokens(organisation, quota, wanted).await });
        }
    }

    async fn ask_for_tokens(
        self: Rc<Self>,
        organisation: OrganisationId,
        quota: RequestQuota,
        wanted: u32,
    ) {
        let (mut asked_at, mut asked_at_wall) = (Instant::now(), SystemTime::now());
        let holders = self.quotas.borrow().holder.holders(&organisation);
        let mut answer = QuotaAnswer::Unreached;
        for (holder, role) in holders.iter().zip([QuotaRole::Holder, QuotaRole::Deputy]) {
            (asked_at, asked_at_wall) = (Instant::now(), SystemTime::now());
            let request = QuotaRequest {
                organisation: organisation.to_string(),
                wanted,
                as_deputy: role == QuotaRole::Deputy,
                requests_per_second: quota.requests_per_second,
                burst: quota.burst,
                is_relayed: false,
            };
            if let Some(grant) = self.ask_quota(holder, request).await {
                answer = QuotaAnswer::Granted(grant);
                break;
            }
        }
        let waiting = {
            let now = Instant::now();
            let mut quotas = self.quotas.borrow_mut();
            quotas.table.finish_asking(&organisation, answer, asked_at, asked_at_wall, now);
            quotas.waiting.remove(&organisation)
        };
        if let Some(answered) = waiting {
            answered.notify_waiters();
        }
    }

    /// Asks a VM, which may be this one, for tokens; `None` if it is not reached or does not have the role.
    async fn ask_quota(&self, holder: &VmId, request: QuotaRequest) -> Option<QuotaGrant> {
        let now = Instant::now();
        let organisation: OrganisationId = request.organisation.as_str().into();
        let wanted = request.wanted;
        if *holder == self.settings.vm {
            let QuotaRequest { requests_per_second, burst, as_deputy, .. } = request;
            let role = if as_deputy { QuotaRole::Deputy } else { QuotaRole::Holder };
            let quota = RequestQuota { requests_per_second, burst };
            return self.issue_tokens(&organisation, quota, wanted, role);
        }
        if self.quotas.borrow().resting.get(holder).is_some_and(|until| now < *until) {
            return None;
        }
        let address = self.peer_address(holder)?;
        let Some(reply) = self.clients.quota(address, request).await else {
            log::info!(
                holder = holder.as_ref(),
                organisation = organisation.as_ref();
                "holder of a quota does not answer"
            );
            let mut quotas = self.quotas.borrow_mut();
            quotas.resting.retain(|_, until| now < *until);
            quotas.resting.insert(holder.clone(), now + REST_TIME);
            return None;
        };
        (!reply.is_other).then(|| QuotaGrant {
            granted: reply.granted.min(wanted),
            retry_after: Duration::from_micros(u64::from(reply.retry_after_us)),
            left: reply.left,
        })
    }
}

fn quota_reply(grant: Option<QuotaGrant>) -> QuotaReply {
    match grant {
        None => QuotaReply { is_other: true, ..QuotaReply::default() },
        Some(grant) => QuotaReply {
            granted: grant.granted,
            retry_after_us: u32::try_from(grant.retry_after.as_micros()).unwrap_or(u32::MAX),
            left: grant.left,
            is_other: false,
        },
    }
}

/// Issue of tokens.
impl PeerService {
    /// Handles a peer's request for tokens. A VM that does not hold the quota passes it on to the one that does, once.
    pub(crate) fn handle_quota_request(
        self: &Rc<Self>,
        request: QuotaRequest,
        reply: oneshot::Sender<QuotaReply>,
    ) {
        let quota =
            RequestQuota { requests_per_second: request.requests_per_second, burst: request.burst };
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        if !is_valid(quota.requests_per_second) || !is_valid(quota.burst) {
            log::warn!(organisation = request.organisation; "request for tokens is invalid");
            return;
        }
        let organisation: OrganisationId = request.organisation.as_str().into();
        let role = if request.as_deputy { QuotaRole::Deputy } else { QuotaRole::Holder };
        let grant = self.issue_tokens(&organisation, quota, request.wanted, role);
        let holder = self.quotas.borrow().holder.holders(&organisation).into_iter().next();
        match (grant, holder) {
            (None, Some(holder)) if !request.is_relayed && role == QuotaRole::Holder => {
                let peers = self.clone();
                actix_rt::spawn(async move {
                    let request = QuotaRequest { is_relayed: true, ..request };
                    let grant = peers.ask_quota(&holder, request).await;
                    let _ = reply.send(quota_reply(grant));
                });
            }
            // Fails if the peer has stopped waiting, which is not an error.
            (grant, _) => drop(reply.send(quota_reply(grant))),
        }
    }

    /// Issues tokens by the quota that this VM knows, or else by that of the VM that asks.
    fn issue_tokens(
        &self,
        organisation: &OrganisationId,
        told: RequestQuota,
        wanted: u32,
        role: QuotaRole,
    ) -> Option<QuotaGrant> {
        let routes = self.directory.routes();
        let known = routes.and_then(|routes| routes.organisations.quota(organisation));
        let (now, wall) = (Instant::now(), SystemTime::now());
        let mut quotas = self.quotas.borrow_mut();
        quotas.holder.issue(organisation, &known.unwrap_or(told), wanted, role, now, wall)
    }

    /// Passes this VM's view of the fleet on to the quotas, if there are any.
    pub(crate) fn refresh_quota_view(self: &Rc<Self>) {
        let routes = self.directory.routes();
        if !routes.is_some_and(|routes| routes.organisations.has_quotas()) {
            return;
        }
        let vms = {
            let state = self.state.borrow();
            let own = state.membership.own();
            let own = QuotaVm {
                vm: own.vm.clone(),
                processor_millicores: own.processor_millicores,
                is_heard: true,
                is_reached: true,
                is_serving: own.phase == MemberPhase::Serving,
            };
            let others = state.membership.table().iter().filter_map(|(record, member_state)| {
                let is_heard = record.incarnation > 0;
                let (is_reached, is_serving) = match member_state {
                    MemberState::Serving => (is_heard, is_heard),
                    MemberState::Suspect => (false, false),
                    MemberState::Leaving => (is_heard, false),
                    MemberState::Left | MemberState::Gone => return None,
                };
                Some(QuotaVm {
                    vm: record.vm.clone(),
                    processor_millicores: record.processor_millicores,
                    is_heard,
                    is_reached,
                    is_serving,
                })
            });
            std::iter::once(own).chain(others).collect::<Vec<QuotaVm>>()
        };
        self.quotas.borrow_mut().holder.set_view(&vms, Instant::now(), SystemTime::now());
        let unheard: Vec<&QuotaVm> = vms.iter().filter(|vm| !vm.is_heard).collect();
        if let Some(unheard) = unheard.choose(&mut rand::rng()) {
            self.probe_unheard(&unheard.vm);
        }
    }

    /// Sends a heartbeat to a VM that is listed and has not been heard from: it may hold quotas in the view of others.
    fn probe_unheard(self: &Rc<Self>, vm: &VmId) {
        let now = Instant::now();
        let action = {
            let mut quotas = self.quotas.borrow_mut();
            if quotas.probed_at.is_some_and(|at| now < at + PROBE_INTERVAL) {
                return;
            }
            quotas.probed_at = Some(now);
            let mut state = self.state.borrow_mut();
            let summary = state.gossip.store().summary();
            state.membership.probe(vm, summary)
        };
        self.perform(action.into_iter().collect());
    }
}
