//! Failure domains whose targets get no new calls.

use std::rc::Rc;

use crate::fanout::FanoutService;

/// Keeps calls from the targets of evacuated failure domains, from each change on.
pub(crate) async fn watch_evacuations(fanout: Rc<FanoutService>) {
    let mut evacuated = fanout.peers.subscribe_evacuated();
    loop {
        let domains = evacuated.borrow_and_update().clone();
        fanout.set_evacuated(domains);
        if evacuated.changed().await.is_err() {
            return;
        }
    }
}
