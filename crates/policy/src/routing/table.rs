//! Every target that the VM knows, by index.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::FailureDomainId;
use crate::ProviderId;
use crate::ServiceId;
use crate::TargetId;
use crate::TargetSpec;
use crate::routing::TargetState;

/// Index of a target in a [`TargetTable`].
pub(crate) type TargetIndex = u32;

/// How long the index of a target that left is kept; longer than any query runs.
const UNLISTED_HOLD: Duration = Duration::from_secs(120);

/// Targets by index, with their ids and services.
pub(crate) struct TargetTable {
    own_domain: Option<FailureDomainId>,
    crossing_cost: f64,
    states: Vec<TargetState>,
    by_id: HashMap<TargetId, TargetIndex>,
    by_service: HashMap<(ServiceId, ProviderId), Vec<TargetIndex>>,
    free: Vec<TargetIndex>,
    generation: u64,
}

impl TargetTable {
    /// An empty table for a VM in `own_domain`; a target elsewhere has to save `crossing_cost`.
    pub(crate) fn new(own_domain: Option<FailureDomainId>, crossing_cost: Duration) -> TargetTable {
        TargetTable {
            own_domain,
            crossing_cost: crossing_cost.as_secs_f64(),
            states: Vec::new(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            free: Vec::new(),
            generation: 0,
        }
    }

    /// The target at an index.
    pub(crate) fn state(&self, index: TargetIndex) -> &TargetState {
        &self.states[index as usize]
    }

    /// The target at an index.
    pub(crate) fn state_mut(&mut self, index: TargetIndex) -> &mut TargetState {
        &mut self.states[index as usize]
    }

    /// Indices of all targets, those that left included.
    pub(crate) fn indices(&self) -> std::ops::Range<TargetIndex> {
        0..u32::try_from(self.states.len()).unwrap_or(u32::MAX)
    }

    /// Targets that are known, those that left lately included.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Grows with every change of the list; an index found earlier may have become another's.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// The index of a known target.
    pub(crate) fn index_of(&self, target: &TargetId) -> Option<TargetIndex> {
        self.by_id.get(target).copied()
    }

    /// Targets of a service at a provider.
    pub(crate) fn service_targets(
        &self,
        service: &ServiceId,
        provider: &ProviderId,
    ) -> Vec<TargetIndex> {
        let key = (service.clone(), provider.clone());
        self.by_service.get(&key).cloned().unwrap_or_default()
    }

    /// The index of a target, made on first use.
    pub(crate) fn intern(&mut self, target: &TargetId) -> TargetIndex {
        if let Some(index) = self.index_of(target) {
            return index;
        }
        let state = TargetState::new(target.clone());
        let index = match self.free.pop() {
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

    /// Takes over the platform's whole list.
    pub(crate) fn apply_specs(&mut self, specs: &[TargetSpec], now: Instant) {
        self.generation += 1;
        self.by_service.clear();
        let mut listed = HashSet::with_capacity(specs.len());
        for spec in specs {
            let index = self.intern(&spec.target);
            let is_near =
                self.own_domain.as_ref().is_none_or(|domain| *domain == spec.failure_domain);
            let cost = if is_near { 0.0 } else { self.crossing_cost };
            let state = self.state_mut(index);
            state.list(spec);
            state.is_cross_domain = !is_near;
            state.crossing_cost = cost;
            listed.insert(index);
            let key = (spec.service.clone(), spec.provider.clone());
            self.by_service.entry(key).or_default().push(index);
        }
        for index in self.indices().filter(|index| !listed.contains(index)) {
            self.state_mut(index).unlist(now);
        }
        self.drop_unlisted(now);
    }

    fn drop_unlisted(&mut self, now: Instant) {
        let states = &self.states;
        let free = &mut self.free;
        self.by_id.retain(|_, index| {
            let state = &states[*index as usize];
            let is_gone = state
                .unlisted_at
                .is_some_and(|at| now.saturating_duration_since(at) >= UNLISTED_HOLD);
            let is_kept = !is_gone || state.window.open() > 0;
            if !is_kept {
                free.push(*index);
            }
            is_kept
        });
    }
}
