//! Which addresses a caller should use.

use oleanderwind_policy::CustomerId;
use oleanderwind_wire::AddressAnswer;

use crate::front::service::FrontService;
use crate::time::milliseconds;

impl FrontService {
    /// The answer to `GET /v1/addresses?customer=`.
    ///
    /// Callers connect to the first address, so each answer has an order of its own; the VM's seed
    /// decides with which it begins, so that VMs asked at the same time begin apart.
    pub(crate) fn addresses(&self, customer: CustomerId) -> AddressAnswer {
        let turn = self.next_turn.get();
        self.next_turn.set(turn.wrapping_add(1));
        let mut addresses = self.peers.rank_addresses_for_caller(&turn.to_string());
        if addresses.is_empty() {
            addresses.push(self.address().to_string());
        }
        AddressAnswer { customer, addresses, keep_ms: milliseconds(self.live.get().address_keep) }
    }
}
