//! Which addresses a caller should use.

use oleanderwind_policy::CustomerId;
use oleanderwind_wire::AddressAnswer;

use crate::front::answer::milliseconds;
use crate::front::service::FrontService;

impl FrontService {
    /// The answer to `GET /v1/addresses?customer=`; `caller` spreads callers over VMs.
    pub(crate) fn addresses(&self, customer: CustomerId, caller: &str) -> AddressAnswer {
        let mut addresses = self.peers.addresses(caller);
        if addresses.is_empty() {
            addresses.push(self.address().to_string());
        }
        AddressAnswer { customer, addresses, keep_ms: milliseconds(self.settings.address_keep) }
    }
}
