//! Tests that the extra-load counters are parsed from any well-formed metrics text.
#![allow(clippy::unwrap_used)]

use oleanderwind_load::ExtraLoad;
use oleanderwind_load::LoadCounters;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;

/// Escapes a label value as the metrics text format requires.
fn escape(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// Configures proptest to generate the same cases on each run.
fn fixed_cases() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn parse_reads_back_what_was_written(
        rows in prop::collection::vec(
            ("[a-z\"\\\\,{}= \n]{0,8}", 0..1_u64 << 50, 0..1_u64 << 50, any::<bool>()),
            0..8,
        ),
    ) {
        let mut text = String::from("# HELP other Something.\nother{customer=\"x\"} 1.5\nplain 3\n");
        let mut expected = LoadCounters::default();
        for (customer, primary_calls, extra_calls, is_first) in &rows {
            let label = format!("customer=\"{}\"", escape(customer));
            let labels = match is_first {
                true => format!("{label},vm=\"a}}b\""),
                false => format!("vm=\"a}}b\",{label}"),
            };
            text += &format!("oleanderwind_primary_calls_total{{{labels}}} {primary_calls}\n");
            text += &format!("oleanderwind_extra_calls_total{{{labels}}} {extra_calls} 1700000000\n");
            let load = expected.customers.entry(customer.clone()).or_default();
            load.primary_calls += primary_calls;
            load.extra_calls += extra_calls;
        }
        prop_assert_eq!(LoadCounters::parse(&text).unwrap(), expected);
    }

    #[test]
    fn parse_never_panics(text in "(oleanderwind_extra_calls_total)?[{}a-z\"\\\\=, 0-9\n]{0,40}") {
        let _ = LoadCounters::parse(&text);
    }
}

#[test]
fn parse_reports_the_invalid_line() {
    let text = "up 1\noleanderwind_extra_calls_total{vm=\"a\"} 3\n";
    let error = LoadCounters::parse(text).unwrap_err();
    assert_eq!((error.line, error.problem), (2, "label `customer` is missing"));
    let text = "oleanderwind_extra_calls_total{customer=\"a\"} many\n";
    assert_eq!(
        LoadCounters::parse(text).unwrap_err().problem,
        "value is not a non-negative whole number"
    );
}

#[test]
fn since_is_the_difference() {
    let text = |calls| format!("oleanderwind_primary_calls_total{{customer=\"a\"}} {calls}\n");
    let earlier = LoadCounters::parse(&text(5)).unwrap();
    let mut later = LoadCounters::parse(&text(9)).unwrap();
    later.add(&earlier);
    let load = later.since(&earlier, "a").unwrap();
    assert_eq!(load, ExtraLoad { primary_calls: 9, extra_calls: 0 });
    assert_eq!(later.since(&earlier, "b"), None);
}
