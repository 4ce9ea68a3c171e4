//! Addresses of the VMs, for callers.

use oleanderwind_policy::CustomerId;
use oleanderwind_wire::AddressAnswer;

use crate::front::service::FrontService;
use crate::time::milliseconds;

impl FrontService {
    /// Returns the answer to `GET /v1/addresses?customer=`.
    ///
    /// Callers connect to the first address, so each answer is ordered by a new key to spread them.
    /// The keys start at the VM's seed, so that VMs asked at the same time give different orders.
    pub(crate) fn addresses(&self, customer: CustomerId) -> AddressAnswer {
        let key = self.next_address_key.get();
        self.next_address_key.set(key.wrapping_add(1));
        let mut addresses = self.peers.rank_addresses_for_caller(&key.to_string());
        if addresses.is_empty() {
            addresses.push(self.address().to_string());
        }
        AddressAnswer { customer, addresses, keep_ms: milliseconds(self.live.get().address_keep) }
    }
}
