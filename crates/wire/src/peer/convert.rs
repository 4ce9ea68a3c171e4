//! Conversions between the messages of the peer protocol and the types of the policy crate.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy as policy;
use oleanderwind_policy::FindingList;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::ObjectSummary;

use super::ConfigurationObject;
use super::DrainRecord;
use super::EvacuationRecord;
use super::ExchangeMessage;
use super::FetchObjectsReply;
use super::LimitRecord;
use super::MemberPhase;
use super::MemberRecord;
use super::TargetEnd;
use super::TrialDecision;
use super::WorkRecord;

impl From<&policy::MemberRecord> for MemberRecord {
    fn from(record: &policy::MemberRecord) -> MemberRecord {
        let phase = match record.phase {
            policy::MemberPhase::Serving => MemberPhase::Serving,
            policy::MemberPhase::Leaving => MemberPhase::Leaving,
            policy::MemberPhase::Left => MemberPhase::Left,
        };
        MemberRecord {
            vm: record.vm.to_string(),
            incarnation: record.incarnation,
            sequence: record.sequence,
            phase: phase.into(),
            failure_domain: record.failure_domain.to_string(),
            peer_address: address_to_bytes(record.peer_address),
            caller_address: address_to_bytes(record.caller_address),
            revision: record.revision,
            suspected: record.suspected,
            processor_millicores: record.processor_millicores,
            refused_by_platform: record.is_refused,
        }
    }
}

impl TryFrom<&MemberRecord> for policy::MemberRecord {
    type Error = FindingList;

    fn try_from(record: &MemberRecord) -> Result<policy::MemberRecord, FindingList> {
        let mut findings = FindingList::default();
        let phase = match record.phase() {
            MemberPhase::Unspecified | MemberPhase::Serving => policy::MemberPhase::Serving,
            MemberPhase::Leaving => policy::MemberPhase::Leaving,
            MemberPhase::Left => policy::MemberPhase::Left,
        };
        if record.phase() == MemberPhase::Unspecified {
            findings.add("phase", "is not one that this version knows");
        }
        if record.vm.is_empty() {
            findings.add("vm", "is empty; name the VM");
        }
        let peer_address = parse_address("peer_address", &record.peer_address, &mut findings);
        let caller_address = parse_address("caller_address", &record.caller_address, &mut findings);
        findings.into_result(policy::MemberRecord {
            vm: record.vm.as_str().into(),
            incarnation: record.incarnation,
            sequence: record.sequence,
            phase,
            suspected: record.suspected,
            failure_domain: record.failure_domain.as_str().into(),
            peer_address,
            caller_address,
            revision: record.revision,
            processor_millicores: record.processor_millicores,
            is_refused: record.refused_by_platform,
        })
    }
}

/// Encodes an address as 4 or 16 bytes of IP and 2 bytes of port, in network order.
fn address_to_bytes(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

/// Decodes an address.
///
/// If the length is wrong, adds a finding and returns `0.0.0.0:0`.
fn parse_address(place: &str, bytes: &[u8], findings: &mut FindingList) -> SocketAddr {
    let parsed = bytes.split_last_chunk::<2>().and_then(|(ip, port)| {
        let port = u16::from_be_bytes(*port);
        let v4 = <[u8; 4]>::try_from(ip).map(|ip| SocketAddr::from((ip, port)));
        let v6 = <[u8; 16]>::try_from(ip).map(|ip| SocketAddr::from((ip, port)));
        v4.or(v6).ok()
    });
    parsed.unwrap_or_else(|| {
        findings.add(place, format!("has {} bytes; give 6 or 18", bytes.len()));
        SocketAddr::from(([0, 0, 0, 0], 0))
    })
}

impl From<&policy::ExchangeMessage> for ExchangeMessage {
    fn from(message: &policy::ExchangeMessage) -> ExchangeMessage {
        ExchangeMessage {
            sender: Some(MemberRecord::from(&message.sender)),
            members: message.members.iter().map(MemberRecord::from).collect(),
            drains: Vec::new(),
            work_digest: 0,
            works: Vec::new(),
            limits: Vec::new(),
            evacuations: Vec::new(),
            revision: message.summary.highest_revision,
            complete_revision: message.summary.complete_revision,
            configuration_digest: message.summary.digest,
        }
    }
}

impl TryFrom<&ExchangeMessage> for policy::ExchangeMessage {
    type Error = FindingList;

    /// Fails if the sender's record is invalid. Invalid records of other VMs are skipped.
    fn try_from(message: &ExchangeMessage) -> Result<policy::ExchangeMessage, FindingList> {
        let sender = policy::MemberRecord::try_from(&message.sender.clone().unwrap_or_default())?;
        let records = message.members.iter().map(policy::MemberRecord::try_from);
        Ok(policy::ExchangeMessage {
            sender,
            members: records.filter_map(Result::ok).collect(),
            summary: ObjectSummary {
                highest_revision: message.revision,
                complete_revision: message.complete_revision,
                digest: message.configuration_digest,
            },
        })
    }
}

impl From<&policy::DrainRecord> for DrainRecord {
    fn from(record: &policy::DrainRecord) -> DrainRecord {
        DrainRecord {
            target: record.target.to_string(),
            sequence: record.sequence,
            incarnation: record.incarnation,
        }
    }
}

impl From<&DrainRecord> for policy::DrainRecord {
    fn from(record: &DrainRecord) -> policy::DrainRecord {
        policy::DrainRecord {
            target: record.target.as_str().into(),
            incarnation: record.incarnation,
            sequence: record.sequence,
        }
    }
}

impl From<&policy::WorkRecord> for WorkRecord {
    fn from(record: &policy::WorkRecord) -> WorkRecord {
        let ends = record.ends.iter();
        WorkRecord {
            work: record.work.as_bytes().to_vec(),
            service: record.service.to_string(),
            generation: record.generation,
            ends: ends
                .map(|end| TargetEnd { process: end.process, in_trial: end.in_trial })
                .collect(),
            blocked_by_operator: record.is_blocked_by_operator,
            age_ms: u64::try_from(record.age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl TryFrom<&WorkRecord> for policy::WorkRecord {
    type Error = FindingList;

    fn try_from(record: &WorkRecord) -> Result<policy::WorkRecord, FindingList> {
        let mut findings = FindingList::default();
        let work = <[u8; 16]>::try_from(record.work.as_slice());
        if work.is_err() {
            findings.add("work", format!("has {} bytes; give 16", record.work.len()));
        }
        let ends = record.ends.iter();
        findings.into_result(policy::WorkRecord {
            work: work.unwrap_or_default().into(),
            service: record.service.as_str().into(),
            generation: record.generation,
            ends: ends
                .map(|end| policy::TargetEnd { process: end.process, in_trial: end.in_trial })
                .collect(),
            is_blocked_by_operator: record.blocked_by_operator,
            age: Duration::from_millis(record.age_ms),
        })
    }
}

impl LimitRecord {
    /// Encodes a record at `now`.
    pub fn encode(record: &policy::LimitRecord, now: Instant) -> LimitRecord {
        let age = now.saturating_duration_since(record.observed_at);
        LimitRecord {
            target: record.target.to_string(),
            incarnation: record.incarnation,
            requests_per_second: record.rate.map_or(0.0, policy::RequestRate::per_second),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Decodes a record that arrived at `now`.
    ///
    /// # Errors
    ///
    /// Fails if the target is missing or the rate is not one.
    pub fn decode(&self, now: Instant) -> Result<policy::LimitRecord, FindingList> {
        let mut findings = FindingList::default();
        if self.target.is_empty() {
            findings.add("target", "is empty; name the target");
        }
        let rate = match self.requests_per_second {
            0.0 => None,
            per_second => match policy::RequestRate::try_from(per_second) {
                Ok(rate) => Some(rate),
                Err(error) => {
                    findings.add("requests_per_second", error.to_string());
                    None
                }
            },
        };
        let age = Duration::from_millis(self.age_ms);
        findings.into_result(policy::LimitRecord {
            target: self.target.as_str().into(),
            incarnation: self.incarnation,
            rate,
            observed_at: now.checked_sub(age).unwrap_or(now),
        })
    }
}

impl From<&policy::EvacuationRecord> for EvacuationRecord {
    fn from(record: &policy::EvacuationRecord) -> EvacuationRecord {
        EvacuationRecord {
            failure_domain: record.failure_domain.to_string(),
            revision: record.revision,
            is_over: !record.is_in_force,
        }
    }
}

impl TryFrom<&EvacuationRecord> for policy::EvacuationRecord {
    type Error = FindingList;

    fn try_from(record: &EvacuationRecord) -> Result<policy::EvacuationRecord, FindingList> {
        let mut findings = FindingList::default();
        if record.failure_domain.is_empty() {
            findings.add("failure_domain", "is empty; name the failure domain");
        }
        if record.revision == 0 {
            findings.add("revision", "is 0; give the store's revision");
        }
        findings.into_result(policy::EvacuationRecord {
            failure_domain: record.failure_domain.as_str().into(),
            revision: record.revision,
            is_in_force: !record.is_over,
        })
    }
}

impl From<policy::TrialDecision> for TrialDecision {
    fn from(decision: policy::TrialDecision) -> TrialDecision {
        match decision {
            policy::TrialDecision::Granted => TrialDecision::Granted,
            policy::TrialDecision::Wait => TrialDecision::Wait,
            policy::TrialDecision::Postponed => TrialDecision::Postponed,
            policy::TrialDecision::Unneeded => TrialDecision::Unneeded,
        }
    }
}

impl TryFrom<TrialDecision> for policy::TrialDecision {
    type Error = FindingList;

    fn try_from(decision: TrialDecision) -> Result<policy::TrialDecision, FindingList> {
        match decision {
            TrialDecision::Granted => Ok(policy::TrialDecision::Granted),
            TrialDecision::Wait => Ok(policy::TrialDecision::Wait),
            TrialDecision::Postponed => Ok(policy::TrialDecision::Postponed),
            TrialDecision::Unneeded => Ok(policy::TrialDecision::Unneeded),
            TrialDecision::Unspecified => {
                let mut findings = FindingList::default();
                findings.add("decision", "is not one that this version knows");
                Err(findings)
            }
        }
    }
}

impl From<&policy::ConfigurationObject> for ConfigurationObject {
    fn from(object: &policy::ConfigurationObject) -> ConfigurationObject {
        ConfigurationObject {
            kind: object.key.kind.as_str().to_owned(),
            name: object.key.name.to_string(),
            revision: object.revision,
            version: object.version,
            deleted: object.body.is_none(),
            body: object.body.as_deref().unwrap_or_default().to_vec(),
        }
    }
}

impl TryFrom<&ConfigurationObject> for policy::ConfigurationObject {
    type Error = FindingList;

    fn try_from(object: &ConfigurationObject) -> Result<policy::ConfigurationObject, FindingList> {
        let mut findings = FindingList::default();
        let known = ObjectKind::ALL.into_iter().find(|kind| kind.as_str() == object.kind);
        if known.is_none() {
            findings.add("kind", format!("is {:?}, which this version doesn't know", object.kind));
        }
        if object.revision == 0 {
            findings.add("revision", "is 0; give the store's revision");
        }
        let body = (!object.deleted).then(|| object.body.clone().into());
        findings.into_result(policy::ConfigurationObject {
            key: policy::ObjectKey {
                kind: known.unwrap_or(ObjectKind::Contracts),
                name: object.name.as_str().into(),
            },
            revision: object.revision,
            version: object.version,
            body,
        })
    }
}

impl From<&policy::ObjectDelta> for FetchObjectsReply {
    fn from(delta: &policy::ObjectDelta) -> FetchObjectsReply {
        FetchObjectsReply {
            objects: delta.objects.iter().map(ConfigurationObject::from).collect(),
            scanned_revision: delta.scanned_revision,
            complete_revision: delta.complete_revision,
            has_more: delta.has_more,
            too_old: delta.too_old,
        }
    }
}

impl TryFrom<&FetchObjectsReply> for policy::ObjectDelta {
    type Error = FindingList;

    /// Fails if any object is invalid, because the page would be incomplete without it.
    fn try_from(reply: &FetchObjectsReply) -> Result<policy::ObjectDelta, FindingList> {
        let objects = reply.objects.iter().map(policy::ConfigurationObject::try_from);
        Ok(policy::ObjectDelta {
            objects: objects.collect::<Result<_, _>>()?,
            scanned_revision: reply.scanned_revision,
            complete_revision: reply.complete_revision,
            has_more: reply.has_more,
            too_old: reply.too_old,
        })
    }
}
