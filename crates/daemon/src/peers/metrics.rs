//! Metrics of the control plane.

use std::collections::BTreeMap;
use std::time::Duration;

use oleanderwind_policy::ConfigurationObject;
use oleanderwind_policy::ContactState;
use oleanderwind_policy::MemberState;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::Revision;
use oleanderwind_wire::ObjectDocument;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use crate::admin::last_edit_ms;
use crate::time::epoch_milliseconds;

/// Bucket bounds of the propagation histogram, in milliseconds.
const PROPAGATION_BOUNDS_MS: [f64; 12] =
    [5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 13_000.0, 60_000.0];
/// States by which members are counted.
const MEMBER_STATES: [MemberState; 5] = [
    MemberState::Serving,
    MemberState::Suspect,
    MemberState::Leaving,
    MemberState::Left,
    MemberState::Gone,
];

/// Gauges and histograms of the control plane of one VM.
pub(crate) struct PeerMetrics {
    propagation: Histogram<f64>,
    revision: Gauge<u64>,
    members: Gauge<u64>,
    contact: Gauge<u64>,
    word_age: Gauge<f64>,
}

impl PeerMetrics {
    /// Creates the instruments with `meter`.
    pub(crate) fn new(meter: &Meter) -> PeerMetrics {
        PeerMetrics {
            propagation: meter
                .f64_histogram("oleanderwind_propagation_ms")
                .with_boundaries(PROPAGATION_BOUNDS_MS.to_vec())
                .build(),
            revision: meter.u64_gauge("oleanderwind_revision").build(),
            members: meter.u64_gauge("oleanderwind_members").build(),
            contact: meter.u64_gauge("oleanderwind_contact").build(),
            word_age: meter.f64_gauge("oleanderwind_platform_word_age_ms").build(),
        }
    }

    /// Records the propagation time of a contract that has taken effect on this VM.
    ///
    /// The time of the edit is by the clock of the VM that made it, so that clock skew between both
    /// VMs adds to the result.
    pub(crate) fn record_propagation(&self, object: &ConfigurationObject) {
        if object.key.kind != ObjectKind::Contracts {
            return;
        }
        let body = object.body.as_deref().unwrap_or_default();
        let Ok(document) = serde_json::from_slice::<ObjectDocument>(body) else { return };
        let Some(edited_ms) = last_edit_ms(&document) else { return };
        self.propagation.record(epoch_milliseconds().saturating_sub(edited_ms) as f64, &[]);
    }

    /// Records the ages of the platform's last words by kind.
    pub(crate) fn record_word_ages(&self, ages: &BTreeMap<ObjectKind, Duration>) {
        for (kind, age) in ages {
            let kind = KeyValue::new("kind", kind.as_str());
            self.word_age.record(age.as_secs_f64() * 1_000.0, &[kind]);
        }
    }

    /// Records the state of the fleet in this VM's view.
    pub(crate) fn record_fleet(
        &self,
        revision: Revision,
        contact: ContactState,
        member_states: &[MemberState],
    ) {
        self.revision.record(revision, &[]);
        self.contact.record(contact as u64, &[]);
        for state in MEMBER_STATES {
            let count = member_states.iter().filter(|held| **held == state).count();
            let phase = KeyValue::new("phase", member_state_label(state));
            self.members.record(u64::try_from(count).unwrap_or(u64::MAX), &[phase]);
        }
    }
}

/// Returns the stable name of a member state.
pub(crate) fn member_state_label(state: MemberState) -> &'static str {
    match state {
        MemberState::Serving => "serving",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Left => "left",
        MemberState::Gone => "gone",
    }
}

/// Returns the stable name of a contact state.
pub(crate) fn contact_label(contact: ContactState) -> &'static str {
    match contact {
        ContactState::Fresh => "fresh",
        ContactState::Stale => "stale",
        ContactState::Isolated => "isolated",
    }
}
