//! Which addresses a caller should use.

use oleanderwind_policy::CustomerId;
use oleanderwind_wire::AddressAnswer;

use crate::front::answer::milliseconds;
use crate::front::service::FrontService;

impl FrontService {
    /// The answer to `GET /v1/addresses?customer=`.
    ///
    /// Callers connect to the first address, so each answer begins with another one; the VM's seed
    /// decides with which, so that VMs asked at the same time begin apart.
    pub(crate) fn addresses(&self, customer: CustomerId) -> AddressAnswer {
        let own = self.address().to_string();
        let mut addresses = self.directory.vm_addresses();
        if self.directory.is_leaving() {
            addresses.retain(|address| *address != own);
        }
        if addresses.is_empty() {
            addresses.push(own);
        }
        let turn = self.next_turn.get();
        self.next_turn.set(turn.wrapping_add(1));
        let first = turn % addresses.len() as u64;
        addresses.rotate_left(usize::try_from(first).unwrap_or_default());
        AddressAnswer { customer, addresses, keep_ms: milliseconds(self.settings.address_keep) }
    }
}
