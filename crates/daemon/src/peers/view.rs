//! The fleet as this VM sees it.

use std::net::SocketAddr;
use std::time::Instant;

use oleanderwind_policy::ContactState;
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
use tokio::sync::watch;

use crate::peers::measures::contact_label;
use crate::peers::measures::standing_label;
use crate::peers::service::PeerService;
use crate::peers::service::PeerState;

/// For other services.
impl PeerService {
    /// Callers' addresses for one caller, best first.
    ///
    /// A VM that may have missed a change leaves itself out.
    pub(crate) fn rank_addresses_for_caller(&self, caller: &str) -> Vec<String> {
        let state = self.state.borrow();
        let members = heard_members(&state);
        let holders: Vec<(&MemberRecord, MemberState, u32)> =
            members.iter().map(|(record, standing)| (*record, *standing, 0)).collect();
        let vms = rank_holders_for_caller(caller, &holders);
        let address = |vm: &VmId| {
            let found = members.iter().find(|(record, _)| record.vm == *vm);
            found.map(|(record, _)| record.caller_address.to_string())
        };
        vms.iter().filter_map(address).collect()
    }

    /// Callers' addresses for a caller in a failure domain, those that it should use.
    pub(crate) fn select_addresses_for_caller(
        &self,
        failure_domain: Option<&str>,
        places: &ShardPlacement,
    ) -> Vec<String> {
        let state = self.state.borrow();
        let chosen = select_vms_for_caller(failure_domain, &heard_members(&state), places);
        chosen.iter().map(|record| record.caller_address.to_string()).collect()
    }

    /// Every VM with its standing, this one first.
    pub(crate) fn fleet(&self) -> Vec<FleetMember> {
        let state = self.state.borrow();
        let revision = state.spread.store().summary().highest_revision;
        let member = |record: &MemberRecord, phase: &str, held: u64| FleetMember {
            vm: record.vm.to_string(),
            failure_domain: record.failure_domain.to_string(),
            phase: phase.to_owned(),
            revision: held,
            is_lagging: held < revision,
        };
        let own = state.membership.own();
        let own_phase = match own.phase {
            MemberPhase::Serving => "serving",
            MemberPhase::Leaving => "leaving",
            MemberPhase::Left => "left",
        };
        let others = state.membership.table().iter();
        let others = others
            .map(|(record, standing)| member(record, standing_label(standing), record.revision));
        std::iter::once(member(own, own_phase, revision)).chain(others).collect()
    }

    /// How far the configuration can be trusted to be the newest.
    pub(crate) fn contact(&self) -> ContactState {
        self.state.borrow().contact.state(Instant::now())
    }

    /// Whether requests may be served.
    pub(crate) fn can_serve(&self) -> bool {
        self.directory.is_configured() && self.contact() != ContactState::Isolated
    }

    /// The same as its stable name.
    pub(crate) fn contact_label(&self) -> &'static str {
        contact_label(self.contact())
    }

    /// The VMs that share targets, and their changes.
    pub(crate) fn subscribe_fleet_shape(&self) -> watch::Receiver<FleetShape> {
        self.fleet_shape.subscribe()
    }

    /// VMs that may lend.
    pub(crate) fn lenders(&self) -> Vec<VmId> {
        let state = self.state.borrow();
        let serving = state.membership.table().iter();
        let serving = serving.filter(|(_, standing)| *standing == MemberState::Serving);
        serving.map(|(record, _)| record.vm.clone()).collect()
    }

    /// Asks one VM for a loan.
    pub(crate) async fn request_loan(
        &self,
        vm: &VmId,
        wanted: DemandRecord,
    ) -> Option<BorrowReply> {
        let address = self.peer_address(vm)?;
        let request = BorrowRequest { vm: self.settings.vm.to_string(), wanted: vec![wanted] };
        self.clients.borrow(address, request).await
    }

    /// Whether this VM should hold the platform's watches.
    ///
    /// One that hears nobody calls the platform whatever its view says.
    pub(crate) fn is_watch_holder(&self) -> bool {
        self.contact() != ContactState::Fresh || self.state.borrow().membership.is_watch_holder()
    }
}

/// For the other parts of this service.
impl PeerService {
    /// Where a peer listens.
    pub(crate) fn peer_address(&self, vm: &str) -> Option<SocketAddr> {
        let state = self.state.borrow();
        state.membership.table().record(vm).map(|record| record.peer_address)
    }

    /// Other VMs that serve.
    pub(crate) fn serving_peers(&self) -> usize {
        let state = self.state.borrow();
        let standings = state.membership.table().iter();
        standings.filter(|(_, standing)| *standing == MemberState::Serving).count()
    }

    /// VMs that may hold connections, all that may not have closed yet, and who of them carries.
    pub(crate) fn count_fleet(&self) -> FleetShape {
        let may_hold = |standing: MemberState| match standing {
            MemberState::Serving | MemberState::Suspect | MemberState::Leaving => true,
            MemberState::Left | MemberState::Gone => false,
        };
        let state = self.state.borrow();
        let own = state.membership.own();
        let holding = state.membership.table().iter().filter(|(_, held)| may_hold(*held));
        let vms: Vec<&MemberRecord> =
            std::iter::once(own).chain(holding.map(|(record, _)| record)).collect();
        let carriers = most_capable(&vms);
        let is_preferred = carriers.iter().any(|record| record.vm == own.vm);
        FleetShape { vms: vms.len(), preferred_vms: carriers.len(), is_preferred }
    }

    /// Brings the gauges up to date.
    pub(crate) fn measure(&self) {
        let contact = self.contact();
        let state = self.state.borrow();
        let standings: Vec<MemberState> =
            state.membership.table().iter().map(|(_, standing)| standing).collect();
        let revision = state.spread.store().summary().highest_revision;
        self.measures.note_fleet(revision, contact, &standings);
    }
}

/// Every VM that has spoken for itself with its standing, this one last: the platform lists a VM
/// before it can serve; the VM itself says when it does.
fn heard_members(state: &PeerState) -> Vec<(&MemberRecord, MemberState)> {
    let membership = &state.membership;
    let heard = membership.table().iter().filter(|(record, _)| record.incarnation > 0);
    heard.chain(std::iter::once((membership.own(), own_standing(state)))).collect()
}

/// This VM's own standing: one that may have missed a change leaves itself out.
fn own_standing(state: &PeerState) -> MemberState {
    let is_fresh = state.contact.state(Instant::now()) == ContactState::Fresh;
    match state.membership.own().phase {
        MemberPhase::Serving if is_fresh => MemberState::Serving,
        MemberPhase::Serving | MemberPhase::Leaving | MemberPhase::Left => MemberState::Leaving,
    }
}
