//! Prints the time that the fingerprint of a request takes, and that of the hash of an answered one.
//!
//! Run with `cargo run --release -p oleanderwind_policy --example fingerprint_cost`.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::WorkFingerprint;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which each hash is computed over and over.
const MEASURE_TIME: Duration = Duration::from_millis(500);

fn main() {
    for bytes in [256, 1_024, 1_024 * 1_024] {
        let body = vec![7; bytes];
        let fingerprint = measure(|| {
            black_box(WorkFingerprint::of(&[b"GET", black_box(&body)]));
        });
        let hash = measure(|| {
            black_box(xxh3_64_with_seed(black_box(&body), 1));
        });
        println!("{bytes} bytes: fingerprint {fingerprint:.0} ns, hash {hash:.0} ns");
    }
}

/// Returns the mean time of a call, in nanoseconds.
fn measure(mut call: impl FnMut()) -> f64 {
    let begin = Instant::now();
    let mut calls = 0_u32;
    while begin.elapsed() < MEASURE_TIME {
        call();
        calls += 1;
    }
    begin.elapsed().as_nanos() as f64 / f64::from(calls)
}
