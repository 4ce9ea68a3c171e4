//! Tests of what the replies of targets are used for.

use expect_test::expect;
use oleanderwind_policy::ReplyUse;
use oleanderwind_policy::TargetReply;
use oleanderwind_policy::is_promise;
use proptest::prelude::*;

fn reply(status: u16, is_not_run: bool) -> TargetReply {
    TargetReply { status, is_not_run, is_misdirected: status == 421, is_whole: true }
}

/// Pins the use of each kind of reply.
#[test]
fn use_for_each_status() {
    let mut table = String::new();
    for status in [200, 204, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504] {
        for is_not_run in [true, false] {
            let reply = reply(status, is_not_run);
            let uses = [(true, false), (false, false), (true, true)];
            let uses =
                uses.map(|(is_idempotent, is_gathered)| reply.use_for(is_idempotent, is_gathered));
            table.push_str(&format!("{status} {is_not_run:5} {uses:?}\n"));
        }
    }
    expect![[r#"
        200 true  [Refusal(Shedding), Refusal(Shedding), Refusal(Shedding)]
        200 false [Answer, Answer, Answer]
        204 true  [Refusal(Shedding), Refusal(Shedding), Refusal(Shedding)]
        204 false [Answer, Answer, Answer]
        302 true  [Refusal(Shedding), Refusal(Shedding), Refusal(Shedding)]
        302 false [Answer, Answer, Nothing]
        400 true  [Refusal(Shedding), Refusal(Shedding), Refusal(Shedding)]
        400 false [Answer, Answer, Nothing]
        404 true  [Refusal(Shedding), Refusal(Shedding), Refusal(Shedding)]
        404 false [Answer, Answer, Nothing]
        408 true  [Refusal(Shedding), Refusal(Shedding), Refusal(Shedding)]
        408 false [Answer, Nothing, Nothing]
        421 true  [Refusal(Draining), Refusal(Draining), Refusal(Draining)]
        421 false [Refusal(Draining), Refusal(Draining), Refusal(Draining)]
        429 true  [Refusal(Shedding), Refusal(Shedding), Refusal(Shedding)]
        429 false [Answer, Nothing, Nothing]
        500 true  [Refusal(Shedding), Refusal(Shedding), Refusal(Shedding)]
        500 false [Failure, Failure, Nothing]
        502 true  [Refusal(Shedding), Refusal(Shedding), Refusal(Shedding)]
        502 false [Failure, Failure, Nothing]
        503 true  [Refusal(Shedding), Refusal(Shedding), Refusal(Shedding)]
        503 false [Failure, Nothing, Nothing]
        504 true  [Refusal(Shedding), Refusal(Shedding), Refusal(Shedding)]
        504 false [Failure, Failure, Nothing]
    "#]]
    .assert_eq(&table);
}

proptest! {
    /// Guards against a status that promises without proof that the request has not run.
    #[test]
    fn use_for_makes_no_promise_without_proof(status in 200..600_u16, is_whole in any::<bool>()) {
        let reply = TargetReply { is_whole, ..reply(status, false) };
        match reply.use_for(false, false) {
            ReplyUse::Answer | ReplyUse::Failure => prop_assert!(!is_promise(status)),
            ReplyUse::Refusal(_) => prop_assert_eq!(status, 421),
            ReplyUse::Nothing => {}
        }
    }

    /// Guards against a status that ends no exchange of HTTP and is passed on as an answer.
    #[test]
    fn use_for_takes_no_status_without_a_class(status in prop_oneof![0..200_u16, 600..1_000_u16], is_not_run in any::<bool>()) {
        let reply = reply(status, is_not_run);
        for (is_idempotent, is_gathered) in [(true, false), (false, false), (true, true)] {
            prop_assert_eq!(reply.use_for(is_idempotent, is_gathered), ReplyUse::Nothing);
        }
    }

    /// Guards against a failure that is merged as a part, whatever the number of shards.
    #[test]
    fn use_for_merges_no_failure(status in 200..600_u16, is_not_run in any::<bool>()) {
        let reply = reply(status, is_not_run);
        let is_part = reply.use_for(true, true) == ReplyUse::Answer;
        prop_assert_eq!(is_part, (200..300).contains(&status) && !is_not_run);
        prop_assert_ne!(reply.use_for(true, true), ReplyUse::Failure);
    }
}
