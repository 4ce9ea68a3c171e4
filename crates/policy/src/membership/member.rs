//! What is known of one VM.

use std::net::SocketAddr;

use crate::FailureDomainId;
use crate::Revision;
use crate::VmId;

/// Bytes of a record's tags, lengths and flags in the peer protocol, at most.
const RECORD_FIXED_BYTES: usize = 18;

/// What a VM says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberPhase {
    /// Takes requests.
    Serving,
    /// Finishes what runs; callers are no longer sent to it.
    Leaving,
    /// Has stopped by its own word.
    Left,
}

/// What this VM makes of another, from all sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Takes requests.
    Serving,
    /// Did not answer probes; counts as serving for everything but address answers and watches.
    Suspect,
    /// Finishes what runs.
    Leaving,
    /// Stopped by its own word.
    Left,
    /// Silent, and the platform has dropped it from its list as well.
    Gone,
}

/// One VM's word of itself as it is passed on among peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The VM.
    pub vm: VmId,
    /// Start of its process, in milliseconds since the epoch; 0 for a VM known from the list only.
    pub incarnation: u64,
    /// Grows with every change that the VM makes to its record.
    pub sequence: u64,
    /// What it says of itself.
    pub phase: MemberPhase,
    /// Another VM could not reach it at this incarnation and sequence.
    pub suspected: bool,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Highest configuration revision that it holds.
    pub revision: Revision,
    /// Processor that it may use, in thousandths of a core; 0 when it is not told.
    pub processor_millicores: u32,
}

impl MemberRecord {
    /// Whether this record replaces `held`: later process, then later word, then a suspicion.
    pub fn supersedes(&self, held: &MemberRecord) -> bool {
        self.rank() > held.rank()
    }

    /// Upper bound of the record's bytes in the peer protocol.
    pub fn max_encoded_len(&self) -> usize {
        let addresses = address_bytes(&self.peer_address) + address_bytes(&self.caller_address);
        let processor = u64::from(self.processor_millicores);
        let numbers = [self.incarnation, self.sequence, self.revision, processor];
        let numbers: usize = numbers.into_iter().map(varint_bytes).sum();
        RECORD_FIXED_BYTES + self.vm.len() + self.failure_domain.len() + addresses + numbers
    }

    /// Order of records of one VM.
    fn rank(&self) -> (u64, u64, bool) {
        (self.incarnation, self.sequence, self.suspected)
    }
}

/// Bytes of a number in the peer protocol.
fn varint_bytes(number: u64) -> usize {
    let bits = u64::BITS - (number | 1).leading_zeros();
    bits.div_ceil(7) as usize
}

/// Bytes of an address with its port in the peer protocol.
fn address_bytes(address: &SocketAddr) -> usize {
    if address.is_ipv4() { 6 } else { 18 }
}

/// A VM as the platform's list has it; the list lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformVm {
    /// The VM.
    pub vm: VmId,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Processor that it may use, in thousandths of a core; 0 when the list does not tell.
    pub processor_millicores: u32,
    /// The platform is about to stop it.
    pub leaving: bool,
}

impl From<&PlatformVm> for MemberRecord {
    /// The record that any word of the VM itself replaces.
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
        }
    }
}
