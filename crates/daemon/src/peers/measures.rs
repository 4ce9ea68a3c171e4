//! Instruments of the control plane.

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

/// Bounds of the propagation histogram, in milliseconds.
const PROPAGATION_BOUNDS_MS: [f64; 12] =
    [5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 13_000.0, 60_000.0];
/// Standings that members are counted by.
const STANDINGS: [MemberState; 5] = [
    MemberState::Serving,
    MemberState::Suspect,
    MemberState::Leaving,
    MemberState::Left,
    MemberState::Gone,
];

/// Gauges and histograms of one VM.
pub(crate) struct PeerMeasures {
    propagation: Histogram<f64>,
    revision: Gauge<u64>,
    members: Gauge<u64>,
    contact: Gauge<u64>,
}

impl PeerMeasures {
    /// Instruments of `meter`.
    pub(crate) fn new(meter: &Meter) -> PeerMeasures {
        PeerMeasures {
            propagation: meter
                .f64_histogram("oleanderwind_propagation_ms")
                .with_boundaries(PROPAGATION_BOUNDS_MS.to_vec())
                .build(),
            revision: meter.u64_gauge("oleanderwind_revision").build(),
            members: meter.u64_gauge("oleanderwind_members").build(),
            contact: meter.u64_gauge("oleanderwind_contact").build(),
        }
    }

    /// An object came in force here: adds the time since its edit, by both VMs' clocks.
    pub(crate) fn note_news(&self, object: &ConfigurationObject) {
        if object.key.kind != ObjectKind::Contracts {
            return;
        }
        let body = object.body.as_deref().unwrap_or_default();
        let Ok(document) = serde_json::from_slice::<ObjectDocument>(body) else { return };
        let Some(edited_ms) = last_edit_ms(&document) else { return };
        self.propagation.record(epoch_milliseconds().saturating_sub(edited_ms) as f64, &[]);
    }

    /// Notes the state of the fleet as this VM sees it.
    pub(crate) fn note_fleet(
        &self,
        revision: Revision,
        contact: ContactState,
        standings: &[MemberState],
    ) {
        self.revision.record(revision, &[]);
        self.contact.record(contact as u64, &[]);
        for standing in STANDINGS {
            let count = standings.iter().filter(|held| **held == standing).count();
            let phase = KeyValue::new("phase", standing_label(standing));
            self.members.record(u64::try_from(count).unwrap_or(u64::MAX), &[phase]);
        }
    }
}

/// The stable name of a standing.
pub(crate) fn standing_label(standing: MemberState) -> &'static str {
    match standing {
        MemberState::Serving => "serving",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Left => "left",
        MemberState::Gone => "gone",
    }
}

/// The stable name of a contact state.
pub(crate) fn contact_label(contact: ContactState) -> &'static str {
    match contact {
        ContactState::Fresh => "fresh",
        ContactState::Stale => "stale",
        ContactState::Isolated => "isolated",
    }
}
