//! Watches of the simulated fleet, and the platform that they ask.

use std::collections::BTreeSet;
use std::time::Duration;

use oleanderwind_policy::DutyStep;
use oleanderwind_policy::ObjectKind;
use oleanderwind_policy::WatchRole;

use crate::fleet::Event;
use crate::fleet::Fleet;

/// Time for which other VMs must have been the watch holders before a VM closes its watches.
const RELEASE_DELAY: Duration = Duration::from_secs(2);
/// Outages and refusals of the platform.
impl Fleet {
    /// Stops or starts the platform; open watches fail at once.
    pub(crate) fn set_platform_down(&mut self, is_down: bool) {
        self.platform.is_down = is_down;
        for number in 0..self.nodes.len() {
            self.cut_watch(number);
        }
    }

    /// Makes the platform turn away exactly these VMs from now on.
    pub(crate) fn set_refused(&mut self, refused: BTreeSet<usize>) {
        for number in refused.difference(&self.platform.refused.clone()) {
            self.cut_watch(*number);
        }
        self.platform.refused = refused;
    }

    /// Makes the open watch of a node fail.
    fn cut_watch(&mut self, number: usize) {
        if self.nodes[number].watching_until.take().is_some() {
            self.record_failure(number);
        }
    }
}

/// Calls of the watches.
impl Fleet {
    /// Notifies peers if the platform begins or ceases to refuse the node.
    pub(super) fn update_refusal(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let is_refused = node.refusals.update(node.members.watch_role(), now);
        if is_refused != node.members.own().is_refused {
            let summary = node.gossip.store().summary();
            let actions = node.members.announce_refusal(is_refused, summary);
            self.send_membership(number, actions);
        }
    }

    /// Records a call that the platform did not answer, and checks when the node counts as refused.
    fn record_failure(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        node.backoff.record_failure(now);
        node.refusals.record_failure(now);
        if let Some(at) = node.refusals.due_at(node.members.watch_role()) {
            let generation = node.generation;
            self.schedule(at.max(now), Event::Refusal { node: number, generation });
        }
    }

    /// Opens the platform's watches if the node is on duty and has none open.
    pub(super) fn watch(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let is_open = node.watching_until.is_some_and(|until| now < until);
        if is_open {
            let is_idle = node.members.watch_role() == WatchRole::None;
            node.idle_since = is_idle.then(|| node.idle_since.unwrap_or(now));
            if node.idle_since.is_some_and(|since| now >= since + RELEASE_DELAY) {
                node.watching_until = None;
            }
            return;
        }
        let refused_vms = node.members.refused_domain_vms();
        match node.duty.update(node.members.watch_role(), refused_vms, now) {
            DutyStep::Rest => return,
            DutyStep::TakeOver => node.takeovers += 1,
            DutyStep::Hold => {}
        }
        if now < node.backoff.next_call() {
            return;
        }
        let is_reachable = self.can_reach_platform(number);
        // One watch per kind; while the platform is down only the first is attempted.
        let calls = if is_reachable { ObjectKind::ALL.len() as u64 } else { 1 };
        *self.platform.calls.entry((now - self.start).as_secs()).or_default() += calls;
        let node = &mut self.nodes[number];
        if !is_reachable {
            node.watching_until = None;
            self.platform.turned_away.insert(number);
            self.record_failure(number);
            return;
        }
        node.backoff.record_success(now);
        node.refusals.record_answer(now);
        node.is_watch_lost = false;
        node.watching_until = Some(now + node.backoff.watch_duration());
        let after = node.gossip.store().summary().complete_revision;
        let missed = self.platform.log.iter().filter(|object| object.revision > after);
        let (objects, revision) = (missed.cloned().collect(), self.platform.revision);
        let at = self.delivery_time();
        self.schedule(at, Event::Watched { node: number, objects, revision });
    }

    /// Returns the live nodes with an open watch.
    pub(crate) fn watchers(&self) -> Vec<usize> {
        let is_open = |number: &usize| {
            let node = &self.nodes[*number];
            node.alive && node.watching_until.is_some_and(|until| self.now < until)
        };
        (0..self.nodes.len()).filter(is_open).collect()
    }
}
