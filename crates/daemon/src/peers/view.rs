//! This VM's view of the fleet.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Instant;

use oleanderwind_policy::ContactState;
use oleanderwind_policy::FleetReach;
use oleanderwind_policy::FleetShape;
use oleanderwind_policy::MemberPhase;
use oleanderwind_policy::MemberRecord;
use oleanderwind_policy::MemberState;
use oleanderwind_policy::ShardPlacement;
use oleanderwind_policy::VmId;
use oleanderwind_policy::most_capable;
use oleanderwind_policy::rank_holders_for_caller;
use oleanderwind_policy::select_vms_for_caller;
use oleanderwind_wire::FleetMember;
use oleanderwind_wire::peer::BorrowReply;
use oleanderwind_wire::peer::BorrowRequest;
use oleanderwind_wire::peer::DemandRecord;
use rand::seq::IndexedRandom;
use tokio::sync::watch;

use crate::peers::metrics::contact_label;
use crate::peers::metrics::member_state_label;
use crate::peers::service::PeerService;
use crate::peers::service::PeerState;
use crate::time::milliseconds;

/// Queries by other services.
impl PeerService {
    /// Returns the VM addresses for one caller, in order of preference.
    ///
    /// A VM that may have missed a configuration change leaves itself out.
    pub(crate) fn rank_addresses_for_caller(&self, caller: &str) -> Vec<String> {
        let state = self.state.borrow();
        let members = reporting_members(&state);
        let holders: Vec<(&MemberRecord, MemberState, u32)> =
            members.iter().map(|(record, member_state)| (*record, *member_state, 0)).collect();
        let vms = rank_holders_for_caller(caller, &holders);
        let address = |vm: &VmId| {
            let found = members.iter().find(|(record, _)| record.vm == *vm);
            found.map(|(record, _)| record.caller_address.to_string())
        };
        vms.iter().filter_map(address).collect()
    }

    /// Returns the VMs that may decide for the fleet: those that serve, or this VM if it knows of none.
    pub(crate) fn deciding_vms(&self) -> Vec<VmId> {
        let state = self.state.borrow();
        let own = state.membership.own();
        let mut vms = state.membership.serving_vms();
        if own.phase == MemberPhase::Serving || vms.is_empty() {
            vms.push(own.vm.clone());
        }
        vms
    }

    /// Returns the VM addresses that a caller in `failure_domain` should use, in no fixed order.
    pub(crate) fn select_addresses_for_caller(
        &self,
        failure_domain: Option<&str>,
        placement: &ShardPlacement,
    ) -> Vec<String> {
        let state = self.state.borrow();
        let selected = select_vms_for_caller(failure_domain, &reporting_members(&state), placement);
        selected.iter().map(|record| record.caller_address.to_string()).collect()
    }

    /// Returns every VM with its state, this one first.
    pub(crate) fn fleet(&self) -> Vec<FleetMember> {
        let state = self.state.borrow();
        let revision = state.gossip.store().summary().highest_revision;
        let ages = state.news.ages(Instant::now()).into_iter();
        let word_ages_ms =
            ages.map(|(kind, age)| (kind.as_str().to_owned(), milliseconds(age))).collect();
        let member = |record: &MemberRecord, phase: &str, held: u64| FleetMember {
            vm: record.vm.to_string(),
            failure_domain: record.failure_domain.to_string(),
            phase: phase.to_owned(),
            revision: held,
            is_lagging: held < revision,
            is_refused: record.is_refused,
            word_ages_ms: BTreeMap::new(),
        };
        let own = state.membership.own();
        let own_phase = match own.phase {
            MemberPhase::Serving => "serving",
            MemberPhase::Leaving => "leaving",
            MemberPhase::Left => "left",
        };
        let others = state.membership.table().iter();
        let others = others
            .map(|(record, state)| member(record, member_state_label(state), record.revision));
        let own = FleetMember { word_ages_ms, ..member(own, own_phase, revision) };
        std::iter::once(own).chain(others).collect()
    }

    /// Returns how far this VM's configuration can be trusted to be current.
    pub(crate) fn contact_state(&self) -> ContactState {
        self.state.borrow().contact.state(Instant::now())
    }

    /// Returns whether requests may be served.
    pub(crate) fn can_serve(&self) -> bool {
        self.directory.is_configured() && self.contact_state() != ContactState::Isolated
    }

    /// Returns the stable name of the contact state.
    pub(crate) fn contact_label(&self) -> &'static str {
        contact_label(self.contact_state())
    }

    /// Subscribes to the fleet shape, which describes the VMs that share the targets.
    pub(crate) fn subscribe_fleet_shape(&self) -> watch::Receiver<FleetShape> {
        self.fleet_shape.subscribe()
    }

    /// Returns the serving peers, which may lend part of their rate.
    pub(crate) fn lenders(&self) -> Vec<VmId> {
        let state = self.state.borrow();
        let members = state.membership.table().iter();
        let serving = members.filter(|(_, member_state)| *member_state == MemberState::Serving);
        serving.map(|(record, _)| record.vm.clone()).collect()
    }

    /// Requests a loan from one VM; returns `None` if it can't be reached.
    pub(crate) async fn request_loan(
        &self,
        vm: &VmId,
        wanted: DemandRecord,
    ) -> Option<BorrowReply> {
        let address = self.peer_address(vm)?;
        let request = BorrowRequest { vm: self.settings.vm.to_string(), wanted: vec![wanted] };
        self.clients.borrow(address, request).await
    }
}

/// Queries within this service.
impl PeerService {
    /// Returns the address of a peer's listener for other VMs.
    pub(crate) fn peer_address(&self, vm: &str) -> Option<SocketAddr> {
        let state = self.state.borrow();
        state.membership.table().record(vm).map(|record| record.peer_address)
    }

    /// Returns the number of other VMs that serve.
    pub(crate) fn count_serving_peers(&self) -> usize {
        let state = self.state.borrow();
        let members = state.membership.table().iter();
        members.filter(|(_, member_state)| *member_state == MemberState::Serving).count()
    }

    /// Chooses a serving VM other than `excluded` that a request may be passed on to, with its address for callers.
    ///
    /// VMs are chosen at random by their processor limit, so that the requests of many VMs spread.
    pub(crate) fn choose_relay(&self, excluded: &[VmId]) -> Option<(VmId, SocketAddr)> {
        let state = self.state.borrow();
        let members = state.membership.table().iter();
        let candidates: Vec<&MemberRecord> = members
            .filter(|(record, member_state)| {
                *member_state == MemberState::Serving
                    && record.incarnation > 0
                    && !excluded.contains(&record.vm)
            })
            .map(|(record, _)| record)
            .collect();
        let weight = |record: &&MemberRecord| record.processor_millicores.max(1);
        let chosen = candidates.choose_weighted(&mut rand::rng(), weight).ok()?;
        Some((chosen.vm.clone(), chosen.caller_address))
    }

    /// Returns whether a VM of the fleet sends from this address.
    ///
    /// One that has left or is gone does not count.
    pub(crate) fn is_vm_address(&self, address: IpAddr) -> bool {
        let state = self.state.borrow();
        let is_present = |member_state: MemberState| match member_state {
            MemberState::Serving | MemberState::Suspect | MemberState::Leaving => true,
            MemberState::Left | MemberState::Gone => false,
        };
        let mut members = state.membership.table().iter();
        members.any(|(record, member_state)| {
            let addresses = [record.peer_address.ip(), record.caller_address.ip()];
            is_present(member_state) && addresses.contains(&address)
        })
    }

    /// Returns how many VMs that may send calls this one reaches, itself included.
    pub(crate) fn fleet_reach(&self) -> FleetReach {
        let state = self.state.borrow();
        let count = |wanted: MemberState| {
            state.membership.table().iter().filter(|(_, state)| *state == wanted).count()
        };
        let reached = 1 + count(MemberState::Serving) + count(MemberState::Leaving);
        FleetReach { reached, known: reached + count(MemberState::Suspect) }
    }

    /// Derives the fleet shape from all VMs that may have connections to targets.
    ///
    /// VMs that are suspect or leaving count too, as they may not have closed theirs. The preferred
    /// VMs are the most capable of all of these.
    pub(crate) fn compute_fleet_shape(&self) -> FleetShape {
        let may_have_connections = |member_state: MemberState| match member_state {
            MemberState::Serving | MemberState::Suspect | MemberState::Leaving => true,
            MemberState::Left | MemberState::Gone => false,
        };
        let state = self.state.borrow();
        let own = state.membership.own();
        let connected =
            state.membership.table().iter().filter(|(_, state)| may_have_connections(*state));
        let vms: Vec<&MemberRecord> =
            std::iter::once(own).chain(connected.map(|(record, _)| record)).collect();
        let preferred_vms = most_capable(&vms);
        let is_preferred = preferred_vms.iter().any(|record| record.vm == own.vm);
        FleetShape { vms: vms.len(), preferred_vms: preferred_vms.len(), is_preferred }
    }

    /// Updates the gauges.
    pub(crate) fn update_gauges(&self) {
        let contact = self.contact_state();
        let state = self.state.borrow();
        let member_states: Vec<MemberState> =
            state.membership.table().iter().map(|(_, member_state)| member_state).collect();
        let revision = state.gossip.store().summary().highest_revision;
        self.metrics.record_fleet(revision, contact, &member_states);
        self.metrics.record_word_ages(&state.news.ages(Instant::now()));
    }
}

/// Returns every VM that has published a record of its own, with its state; this VM is last.
///
/// VMs that are known only from the platform's list are left out: the platform lists a VM before it
/// can serve, and the VM itself reports when it does.
fn reporting_members(state: &PeerState) -> Vec<(&MemberRecord, MemberState)> {
    let membership = &state.membership;
    let reporting = membership.table().iter().filter(|(record, _)| record.incarnation > 0);
    reporting.chain(std::iter::once((membership.own(), own_state(state)))).collect()
}

/// Returns this VM's own state, which is `Leaving` if it may have missed a configuration change.
fn own_state(state: &PeerState) -> MemberState {
    let is_fresh = state.contact.state(Instant::now()) == ContactState::Fresh;
    match state.membership.own().phase {
        MemberPhase::Serving if is_fresh => MemberState::Serving,
        MemberPhase::Serving | MemberPhase::Leaving | MemberPhase::Left => MemberState::Leaving,
    }
}
