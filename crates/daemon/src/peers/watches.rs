//! This VM's part in the watches on the platform.

use std::rc::Rc;
use std::time::Instant;

use oleanderwind_policy::ContactState;
use oleanderwind_policy::MembershipAction;
use oleanderwind_policy::WatchPosition;
use oleanderwind_policy::WatchRole;

use crate::peers::service::PeerService;
use crate::peers::service::PeerState;

/// Watches.
impl PeerService {
    /// Returns this VM's part in the watches on the platform.
    ///
    /// A VM that has lost contact always holds them, as its view of the fleet may be outdated.
    pub(crate) fn watch_role(&self) -> WatchRole {
        match self.contact_state() {
            ContactState::Fresh => self.state.borrow().membership.watch_role(),
            ContactState::Stale | ContactState::Isolated => WatchRole::Regular,
        }
    }

    /// Returns whether this VM should hold watches on the platform.
    pub(crate) fn is_watch_holder(&self) -> bool {
        self.watch_role() != WatchRole::None
    }

    /// Returns whether no other VM that this one hears should hear of changes from the platform.
    pub(crate) fn is_only_watch_holder(&self) -> bool {
        let state = self.state.borrow();
        !state.news.hears_peers(Instant::now()) || !state.membership.has_other_watch_holders()
    }

    /// Returns this VM's place among the watch holders, alone while it hears no peer.
    pub(crate) fn watch_position(&self) -> WatchPosition {
        let state = self.state.borrow();
        match state.news.hears_peers(Instant::now()) {
            true => state.membership.watch_position(),
            false => WatchPosition::ALONE,
        }
    }
}

/// VMs that the platform refuses.
impl PeerService {
    /// Returns whether peers are told that the platform refuses this VM.
    pub(crate) fn is_refused(&self) -> bool {
        self.state.borrow().membership.own().is_refused
    }

    /// Returns how many VMs of this failure domain the platform refuses.
    pub(crate) fn refused_domain_vms(&self) -> usize {
        self.state.borrow().membership.refused_domain_vms()
    }

    /// Records that the platform turned a call of this VM away or did not answer it.
    pub(crate) fn record_platform_failure(&self) {
        self.state.borrow_mut().refusals.record_failure(Instant::now());
    }

    /// Tells the peers whether the platform refuses this VM, if that has changed.
    ///
    /// Returns when it changes next if nothing else happens until then.
    pub(crate) fn update_refusal(self: &Rc<Self>) -> Option<Instant> {
        let role = self.watch_role();
        let (due_at, actions) = {
            let mut state = self.state.borrow_mut();
            let PeerState { refusals, membership, gossip, .. } = &mut *state;
            let is_refused = refusals.update(role, Instant::now());
            let mut actions = Vec::new();
            if is_refused != membership.own().is_refused {
                actions = membership.announce_refusal(is_refused, gossip.store().summary());
                log_refusal(is_refused, role, &actions);
            }
            (refusals.due_at(role), actions)
        };
        self.perform(actions);
        due_at
    }
}

/// Logs that the platform begins or ceases to refuse this VM, and which peers are told at once.
fn log_refusal(is_refused: bool, role: WatchRole, actions: &[MembershipAction]) {
    let told = actions.iter().filter_map(|action| match action {
        MembershipAction::Exchange { vm, .. } => Some(vm.as_ref()),
        MembershipAction::ProbeVia { .. } => None,
    });
    let told = told.collect::<Vec<&str>>().join(",");
    match is_refused {
        true => log::warn!(
            role = role.as_str(), told = told.as_str();
            "the platform refuses this VM, others hold its watches"
        ),
        false => log::info!(
            role = role.as_str(), told = told.as_str();
            "the platform no longer refuses this VM"
        ),
    }
}
