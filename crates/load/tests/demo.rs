//! Checks that the demo answers its load without wrong answers or connection errors.
#![allow(clippy::unwrap_used)]

use oleanderwind_load::DemoSettings;
use oleanderwind_load::run_demo;

#[actix_rt::test]
async fn run_demo_answers_correctly() {
    let settings = DemoSettings { duration_ms: 1_000, rate: 20.0, seed: 1 };
    let report = run_demo(&settings).await.unwrap();
    assert_eq!(report.customers.len(), 2);
    for customer in &report.customers {
        assert!(customer.extra_load.unwrap().primary_calls > 0);
        assert!(!customer.checks.is_empty());
        for class in &customer.classes {
            assert_eq!(class.counts.wrong_answers, 0, "{class:?}");
            assert_eq!(class.counts.connection_errors, 0, "{class:?}");
        }
    }
}
