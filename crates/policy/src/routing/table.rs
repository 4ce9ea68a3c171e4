//! Index of all targets known to the VM.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::FailureDomainId;
use crate::LoadNews;
use crate::PermitRequest;
use crate::ProviderId;
use crate::ServiceId;
use crate::TargetId;
use crate::TargetSpec;
use crate::routing::TargetState;

/// Index of a target in a [`TargetTable`].
pub(crate) type TargetIndex = u32;

/// How long the index of an unlisted target is kept; longer than any query runs.
const UNLISTED_RETENTION: Duration = Duration::from_secs(120);

/// Targets by index, id and service.
pub(crate) struct TargetTable {
    own_domain: Option<FailureDomainId>,
    crossing_cost: f64,
    news: LoadNews,
    states: Vec<TargetState>,
    by_id: HashMap<TargetId, TargetIndex>,
    by_service: HashMap<(ServiceId, ProviderId), Vec<TargetIndex>>,
    free_indices: Vec<TargetIndex>,
    /// Failure domains whose targets get no new calls.
    evacuated: BTreeSet<FailureDomainId>,
    /// Targets for which permits have to be asked for.
    lacking_permits: Vec<TargetIndex>,
    generation: u64,
}

impl TargetTable {
    /// Returns an empty table for a VM in `own_domain`.
    ///
    /// `crossing_cost` is added to the expected wait of targets in other failure domains.
    pub(crate) fn new(
        own_domain: Option<FailureDomainId>,
        crossing_cost: Duration,
        news: LoadNews,
    ) -> TargetTable {
        TargetTable {
            news,
            own_domain,
            crossing_cost: crossing_cost.as_secs_f64(),
            states: Vec::new(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            free_indices: Vec::new(),
            evacuated: BTreeSet::new(),
            lacking_permits: Vec::new(),
            generation: 0,
        }
    }

    /// Returns the target at an index.
    ///
    /// Panics if the index is out of range.
    pub(crate) fn state(&self, index: TargetIndex) -> &TargetState {
        &self.states[index as usize]
    }

    /// Returns the target at an index for modification.
    ///
    /// Panics if the index is out of range.
    pub(crate) fn state_mut(&mut self, index: TargetIndex) -> &mut TargetState {
        &mut self.states[index as usize]
    }

    /// Returns the indices of all targets, including unlisted ones and free indices.
    pub(crate) fn indices(&self) -> std::ops::Range<TargetIndex> {
        0..u32::try_from(self.states.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of known targets, including recently unlisted ones.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns a counter that increases with every applied target list.
    ///
    /// An index obtained under an earlier generation may since refer to another target.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the index of a target, if it is known.
    pub(crate) fn index_of(&self, target: &TargetId) -> Option<TargetIndex> {
        self.by_id.get(target).copied()
    }

    /// Returns the listed targets of a service at a provider.
    pub(crate) fn service_targets(
        &self,
        service: &ServiceId,
        provider: &ProviderId,
    ) -> Vec<TargetIndex> {
        let key = (service.clone(), provider.clone());
        self.by_service.get(&key).cloned().unwrap_or_default()
    }

    /// Returns the index of a target, which is added on first use.
    pub(crate) fn intern(&mut self, target: &TargetId) -> TargetIndex {
        if let Some(index) = self.index_of(target) {
            return index;
        }
        let state = TargetState::new(target.clone(), self.news);
        let index = match self.free_indices.pop() {
            Some(index) => {
                self.states[index as usize] = state;
                index
            }
            None => {
                self.states.push(state);
                u32::try_from(self.states.len() - 1).unwrap_or(u32::MAX)
            }
        };
        self.by_id.insert(target.clone(), index);
        index
    }

    /// Records that `calls` to a target lack a permit.
    pub(crate) fn want_permits(&mut self, index: TargetIndex, calls: u32, now: Instant) {
        if self.state_mut(index).want_permits(calls, now) {
            self.lacking_permits.push(index);
        }
    }

    /// Returns the permits to ask for.
    pub(crate) fn take_permit_requests(&mut self) -> Vec<PermitRequest> {
        let mut requests = Vec::new();
        for index in std::mem::take(&mut self.lacking_permits) {
            let state = self.state_mut(index);
            let Some(incarnation) = state.incarnation() else { continue };
            let wanted = state.stock_of(incarnation).map_or(0, |stock| stock.start_request());
            if wanted > 0 {
                let target = state.target.clone();
                requests.push(PermitRequest { target, incarnation, wanted });
            }
        }
        requests
    }

    /// Sets the failure domains whose targets get no new calls.
    pub(crate) fn set_evacuated(&mut self, domains: BTreeSet<FailureDomainId>) {
        for state in &mut self.states {
            let domain = state.failure_domain.as_ref();
            state.set_evacuated(domain.is_some_and(|domain| domains.contains(domain)));
        }
        self.evacuated = domains;
    }

    /// Applies the platform's full target list.
    pub(crate) fn apply_specs(&mut self, specs: &[TargetSpec], now: Instant) {
        self.generation += 1;
        self.by_service.clear();
        let mut listed = HashSet::with_capacity(specs.len());
        for spec in specs {
            let index = self.intern(&spec.target);
            let is_local =
                self.own_domain.as_ref().is_none_or(|domain| *domain == spec.failure_domain);
            let cost = if is_local { 0.0 } else { self.crossing_cost };
            let is_evacuated = self.evacuated.contains(&spec.failure_domain);
            let state = self.state_mut(index);
            state.apply_spec(spec);
            state.failure_domain = Some(spec.failure_domain.clone());
            state.set_evacuated(is_evacuated);
            state.is_cross_domain = !is_local;
            state.crossing_cost = cost;
            listed.insert(index);
            let key = (spec.service.clone(), spec.provider.clone());
            self.by_service.entry(key).or_default().push(index);
        }
        for index in self.indices().filter(|index| !listed.contains(index)) {
            self.state_mut(index).mark_unlisted(now);
        }
        self.remove_unlisted(now);
    }

    fn remove_unlisted(&mut self, now: Instant) {
        let states = &self.states;
        let free_indices = &mut self.free_indices;
        self.by_id.retain(|_, index| {
            let state = &states[*index as usize];
            let is_gone = state
                .unlisted_at
                .is_some_and(|at| now.saturating_duration_since(at) >= UNLISTED_RETENTION);
            let is_kept = !is_gone || state.window.open() > 0;
            if !is_kept {
                free_indices.push(*index);
            }
            is_kept
        });
    }
}
