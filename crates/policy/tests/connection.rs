//! Tests of what a connection may carry.

use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::ConnectionHistory;
use proptest::prelude::*;

/// Longest time for which a request of the tests may be sent again.
const MAX_TIME_MS: u64 = 4_000;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a second copy of a rejection that passes for the answer to the next send of the same request.
#[test]
fn allows_no_second_send_of_a_request() {
    let start = Instant::now();
    let mut history = ConnectionHistory::default();
    assert!(history.allows(1, start));
    history.record_send(1, start + ms(500), start);
    assert!(!history.allows(1, start + ms(5)));
    assert!(history.allows(2, start + ms(5)));
    // Nothing is sent after the deadline, so that the id can't come again.
    assert!(history.allows(1, start + ms(500)));
}

/// Guards against a busy connection that forgets a request while it may be sent again.
#[test]
fn allows_nothing_once_it_remembers_too_many() {
    let start = Instant::now();
    let mut history = ConnectionHistory::default();
    let sends = (0..10_000).find(|request| {
        history.record_send(*request, start + ms(500), start);
        !history.allows(u64::MAX, start)
    });
    assert!(sends.is_some());
    assert!(history.allows(u64::MAX, start + ms(500)));
}

/// Guards against a late copy without an id that passes for the reply to another request.
#[test]
fn owns_reply_without_an_id_of_the_first_send_only() {
    let start = Instant::now();
    let mut history = ConnectionHistory::default();
    history.record_send(1, start + ms(500), start);
    assert!(history.owns_reply(b"r-1", None));
    assert!(history.owns_reply(b"r-1", Some(b"r-1")));
    assert!(!history.owns_reply(b"r-1", Some(b"r-0")));
    history.forget(1);
    history.record_send(2, start + ms(500), start);
    assert!(!history.owns_reply(b"r-2", None));
    assert!(history.owns_reply(b"r-2", Some(b"r-2")));
}

proptest! {
    /// Guards against any order of sends after which a request that was sent is allowed before its deadline.
    #[test]
    fn allows_only_requests_never_sent(
        sends in prop::collection::vec((0..40_u64, 0..MAX_TIME_MS, 0..50_u64), 1..400),
    ) {
        let mut now = Instant::now();
        let mut history = ConnectionHistory::default();
        let mut sent: Vec<(u64, Instant)> = Vec::new();
        for (request, left, pause) in sends {
            now += ms(pause);
            if history.allows(request, now) {
                prop_assert!(!sent.iter().any(|(id, until)| *id == request && now < *until));
            }
            history.record_send(request, now + ms(left), now);
            sent.push((request, now + ms(left)));
        }
    }
}
