//! Records and states of a single VM.

use std::net::SocketAddr;

use crate::FailureDomainId;
use crate::Revision;
use crate::VmId;

/// Upper bound of the bytes of a record's tags, lengths and flags in the peer protocol.
const RECORD_OVERHEAD_BYTES: usize = 20;

/// Lifecycle phase that a VM reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberPhase {
    /// Accepts requests.
    Serving,
    /// Finishes its running requests; callers are no longer sent to it.
    Leaving,
    /// Reported that it has stopped.
    Left,
}

/// State of another VM in this VM's view, derived from all sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Accepts requests.
    Serving,
    /// Did not answer probes; treated as serving except in address answers and watch assignment.
    Suspect,
    /// Finishes its running requests.
    Leaving,
    /// Reported that it has stopped.
    Left,
    /// Unreachable, and no longer in the platform's list.
    Gone,
}

/// Record that a VM publishes of itself and that peers gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The VM.
    pub vm: VmId,
    /// Start time of its process, in milliseconds since the Unix epoch; 0 for a VM that is known
    /// from the platform's list only.
    pub incarnation: u64,
    /// Counter that the VM raises with every change of its record.
    pub sequence: u64,
    /// Phase that the VM reports.
    pub phase: MemberPhase,
    /// Whether another VM could not reach it at this incarnation and sequence.
    pub suspected: bool,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomainId,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Highest configuration revision that it holds.
    pub revision: Revision,
    /// Processor limit, in thousandths of a core; 0 if unknown.
    pub processor_millicores: u32,
    /// Whether the platform answers none of its calls, as it reports itself.
    pub is_refused: bool,
}

impl MemberRecord {
    /// Returns whether this record supersedes `held`.
    ///
    /// The later incarnation wins, then the higher sequence, then the suspected record.
    pub fn supersedes(&self, held: &MemberRecord) -> bool {
        self.precedence() > held.precedence()
    }

    /// Returns an upper bound of the record's encoded length in the peer protocol, in bytes.
    pub fn max_encoded_len(&self) -> usize {
        let addresses = address_len(&self.peer_address) + address_len(&self.caller_address);
        let processor = u64::from(self.processor_millicores);
        let numbers = [self.incarnation, self.sequence, self.revision, processor];
        let numbers: usize = numbers.into_iter().map(varint_len).sum();
        RECORD_OVERHEAD_BYTES + self.vm.len() + self.failure_domain.len() + addresses + numbers
    }

    /// Returns the key that orders the records of one VM.
    fn precedence(&self) -> (u64, u64, bool) {
        (self.incarnation, self.sequence, self.suspected)
    }
}

/// Returns the length of a varint in the peer protocol, in bytes.
fn varint_len(number: u64) -> usize {
    let bits = u64::BITS - (number | 1).leading_zeros();
    bits.div_ceil(7) as usize
}

/// Returns the length of an address with its port in the peer protocol, in bytes.
fn address_len(address: &SocketAddr) -> usize {
    if address.is_ipv4() { 6 } else { 18 }
}

/// Entry of the platform's VM list, which lags behind the real state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformVm {
    /// The VM.
    pub vm: VmId,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomainId,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Processor limit, in thousandths of a core; 0 if the list does not give it.
    pub processor_millicores: u32,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}

impl From<&PlatformVm> for MemberRecord {
    /// Creates a record that any record of the VM itself supersedes.
    fn from(listed: &PlatformVm) -> MemberRecord {
        MemberRecord {
            vm: listed.vm.clone(),
            incarnation: 0,
            sequence: 0,
            phase: MemberPhase::Serving,
            suspected: false,
            failure_domain: listed.failure_domain.clone(),
            peer_address: listed.peer_address,
            caller_address: listed.caller_address,
            revision: 0,
            processor_millicores: listed.processor_millicores,
            is_refused: false,
        }
    }
}
