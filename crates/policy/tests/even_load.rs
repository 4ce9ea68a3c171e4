//! Even load from news that is always a little old, chosen by many VMs at once.
//!
//! Prints a table with `--nocapture`.
#![allow(clippy::unwrap_used)]

#[path = "even_load/fleet.rs"]
mod fleet;

use std::time::Duration;

use oleanderwind_policy::FanoutSettings;
use oleanderwind_policy::LoadNews;

use crate::fleet::Disturbance;
use crate::fleet::FleetFigures;
use crate::fleet::FleetLoad;
use crate::fleet::play;

/// Seeds over which the figures of a load are averaged.
const SEEDS: [u64; 3] = [7, 8, 9];
/// Difference between two averages that are alike, from chance alone.
const TOLERANCE: f64 = 0.05;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Averages over the seeds.
struct MeanFigures {
    /// Calls that waited behind another one while a replica had a free slot, in thousandths.
    misplaced_permille: f64,
    p99_ms: f64,
}

/// Plays a load with one way to take old news.
fn average(name: &str, load: FleetLoad, news: LoadNews) -> MeanFigures {
    let mut settings = FanoutSettings::default();
    settings.load_news = news;
    let runs = SEEDS.map(|seed| play(load, &settings, seed));
    let mean = |figure: fn(&FleetFigures) -> f64| {
        runs.iter().map(figure).sum::<f64>() / SEEDS.len() as f64
    };
    let figures = MeanFigures {
        misplaced_permille: mean(|run| run.misplaced_permille as f64),
        p99_ms: mean(|run| run.p99.as_secs_f64() * 1_000.0),
    };
    println!(
        "{name:<24} {:>3} VMs {:>3}% news {:>4} ms {:<8} variation {:.2} misplaced {:>3.0} permille p50 {:>5.1} p99 {:>6.1} ms sheds {:.0} extra {:.0} permille unanswered {:.0}",
        load.vms,
        load.utilisation_percent,
        load.news_age.as_millis(),
        format!("{news:?}"),
        mean(|run| run.variation),
        figures.misplaced_permille,
        mean(|run| run.p50.as_secs_f64() * 1_000.0),
        figures.p99_ms,
        mean(|run| run.sheds as f64),
        mean(|run| run.extra_permille as f64),
        mean(|run| run.unanswered as f64),
    );
    figures
}

/// Returns the figures of held and of decayed news.
fn compare(name: &str, load: FleetLoad) -> [MeanFigures; 2] {
    [LoadNews::Held, LoadNews::Decayed].map(|news| average(name, load, news))
}

fn load(vms: usize, news_age: Duration) -> FleetLoad {
    FleetLoad {
        vms,
        shards: 4,
        utilisation_percent: 60,
        news_age,
        disturbance: Disturbance::default(),
        queries: 10_000,
    }
}

/// Pattern: a few VMs each see the same targets often, by news that is older than a call is long.
#[test]
fn choose_does_not_follow_news_older_than_a_call() {
    for vms in [1, 7] {
        for age in [0, 100, 500, 2_000] {
            let [held, decayed] = compare("calm", load(vms, ms(age)));
            assert!(decayed.misplaced_permille <= held.misplaced_permille, "{vms} VMs, {age} ms");
            assert!(decayed.p99_ms <= held.p99_ms * (1.0 + TOLERANCE), "{vms} VMs, {age} ms");
        }
    }
}

/// Pattern: many VMs each see a target so seldom that no news of it holds when they choose.
#[test]
fn choose_spreads_calls_of_many_vms() {
    for vms in [76, 295] {
        for age in [0, 2_000] {
            let [held, decayed] = compare("calm", load(vms, ms(age)));
            let most = held.misplaced_permille * (1.0 + TOLERANCE);
            assert!(decayed.misplaced_permille <= most, "{vms} VMs, {age} ms");
        }
    }
}

/// Pattern: each target pauses for 120 ms every 3 s, at a moment of its own.
#[test]
fn choose_spreads_calls_beside_pauses() {
    for vms in [7, 76] {
        let disturbance = Disturbance { pause: Some((ms(120), ms(3_000))), slow_phase: None };
        let load = FleetLoad { disturbance, ..load(vms, ms(100)) };
        let [held, decayed] = compare("pauses of 120 ms", load);
        assert!(decayed.p99_ms <= held.p99_ms * (1.0 + TOLERANCE), "{vms} VMs");
    }
}

/// Pattern: a sixth of the targets at a time work 2.5 times as long for 600 ms, and say so.
#[test]
fn choose_avoids_targets_while_they_are_slow() {
    for vms in [1, 7, 76, 295] {
        let disturbance =
            Disturbance { pause: Some((ms(120), ms(3_000))), slow_phase: Some(ms(600)) };
        let load = FleetLoad { disturbance, utilisation_percent: 40, ..load(vms, ms(0)) };
        let [held, decayed] = compare("a sixth 2.5 times slower", load);
        assert!(decayed.p99_ms <= held.p99_ms * (1.0 + TOLERANCE), "{vms} VMs");
    }
}
