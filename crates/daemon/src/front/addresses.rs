//! Which addresses a caller should use.

use oleanderwind_policy::CustomerId;
use oleanderwind_wire::AddressAnswer;

use crate::front::answer::milliseconds;
use crate::front::service::FrontService;

impl FrontService {
    /// The answer to `GET /v1/addresses?customer=`.
    pub(crate) fn addresses(&self, customer: CustomerId) -> AddressAnswer {
        let own = self.address().to_string();
        let mut addresses = self.directory.vm_addresses();
        if self.directory.is_leaving() {
            addresses.retain(|address| *address != own);
        }
        if addresses.is_empty() {
            addresses.push(own);
        }
        AddressAnswer { customer, addresses, keep_ms: milliseconds(self.settings.address_keep) }
    }
}
