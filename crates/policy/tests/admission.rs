//! A customer's rate limit holds across its VMs under message loss and partitions.

#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::AdmissionDecision;
use oleanderwind_policy::ClassPriority;
use oleanderwind_policy::CustomerLimiter;
use oleanderwind_policy::VmId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const STEP: Duration = Duration::from_millis(5);

/// Limiters that lend to each other, under message loss or a network partition.
struct LimiterGroup {
    limiters: Vec<CustomerLimiter>,
    names: Vec<VmId>,
    /// Probability that a request or a reply is lost.
    loss: f64,
    /// Index of the first VM in the second of two partitions.
    partition: Option<usize>,
    now: Instant,
    rng: Pcg64Mcg,
    admitted: Vec<u64>,
    /// Number of loan requests by each VM.
    loan_requests: Vec<u64>,
}

impl LimiterGroup {
    fn new(count: usize, limit: f64) -> LimiterGroup {
        let now = Instant::now();
        LimiterGroup {
            limiters: vec![CustomerLimiter::new(limit, count, now); count],
            names: (0..count).map(|number| format!("{number}").into()).collect(),
            loss: 0.0,
            partition: None,
            now,
            rng: Pcg64Mcg::seed_from_u64(3),
            admitted: vec![0; count],
            loan_requests: vec![0; count],
        }
    }

    /// Offers `demand` requests per second at each VM for `duration`; returns the number admitted.
    fn run(&mut self, duration: Duration, demand: &[f64]) -> u64 {
        let before: u64 = self.admitted.iter().sum();
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            for (number, demand) in demand.iter().enumerate() {
                let expected = demand * STEP.as_secs_f64();
                let extra = self.rng.random_bool(expected.fract());
                for _ in 0..expected as u64 + u64::from(extra) {
                    let decision =
                        self.limiters[number].admit(ClassPriority::Interactive, self.now);
                    self.admitted[number] += u64::from(decision == AdmissionDecision::Admitted);
                }
                self.borrow(number);
            }
        }
        self.admitted.iter().sum::<u64>() - before
    }

    fn borrow(&mut self, from: usize) {
        let (names, now) = (&self.names, self.now);
        let Some(call) = self.limiters[from].next_loan_request(names, now) else { return };
        self.loan_requests[from] += 1;
        let to = names.iter().position(|name| *name == call.vm).unwrap();
        let is_partitioned =
            self.partition.is_some_and(|partition| (from < partition) != (to < partition));
        if to == from || is_partitioned || self.rng.random_bool(self.loss) {
            return;
        }
        let lent = self.limiters[to].lend(&names[from], call.rate, now);
        if !self.rng.random_bool(self.loss) {
            self.limiters[from].record_loan(&names[to], lent, now, now + STEP);
        }
    }
}

#[test]
fn limiter_rate_follows_demand() {
    let mut group = LimiterGroup::new(7, 700.0);
    let demand = [600.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0];
    group.run(Duration::from_secs(5), &demand);
    let admitted = group.run(Duration::from_secs(10), &demand);
    println!("600/s at one of 7 VMs, limit 700/s: {} per second", admitted / 10);
    assert!(admitted > 10 * 540, "one VM admits nine tenths of the demand");
}

#[test]
fn limiter_sum_stays_below_the_limit_under_loss_and_partition() {
    for (loss, partition) in [(0.0, None), (0.3, None), (0.0, Some(3)), (0.3, Some(1))] {
        let mut group = LimiterGroup::new(7, 700.0);
        (group.loss, group.partition) = (loss, partition);
        let mut rng = Pcg64Mcg::seed_from_u64(11);
        let mut total = 0;
        for _ in 0..20 {
            let demand: Vec<f64> =
                (0..7).map(|_| 900.0 * rng.random_range(0.0..1.0_f64).powi(3)).collect();
            total += group.run(Duration::from_secs(3), &demand);
        }
        println!("loss {loss}, partition {partition:?}: {total} of {} admitted", 60 * 700);
        assert!(total <= 61 * 700, "at most one second's worth above the limit");
        let usable: f64 = group.limiters.iter().map(|limiter| limiter.usable_rate(group.now)).sum();
        assert!(usable <= 700.0 + 1e-6);
    }
}

#[test]
fn limiter_overshoot_is_one_share_per_uncounted_vm() {
    let mut group = LimiterGroup::new(7, 700.0);
    group.limiters.push(CustomerLimiter::new(700.0, 7, group.now));
    group.names.push("new".into());
    group.admitted.push(0);
    group.loan_requests.push(0);
    let admitted = group.run(Duration::from_secs(20), &[200.0; 8]);
    assert!(admitted <= 21 * 800, "at most one share of 100 above the limit");
}

#[test]
fn limiter_requests_loans_by_demand() {
    const SECONDS: u64 = 30;
    let loan_requests = |demand: [f64; 21]| {
        let mut group = LimiterGroup::new(21, 168.0);
        group.run(Duration::from_secs(5), &demand);
        group.loan_requests.fill(0);
        group.run(Duration::from_secs(SECONDS), &demand);
        let rates = group.loan_requests.iter().map(|count| *count as f64 / SECONDS as f64);
        let (mean, most) = (rates.clone().sum::<f64>() / 21.0, rates.fold(0.0, f64::max));
        println!(
            "demand {:?}..: loan requests/s per VM: mean {mean:.2}, max {most:.2}",
            &demand[..2]
        );
        (mean, most)
    };
    let mut skewed = [0.0; 21];
    skewed[0] = 140.0;
    assert_eq!(loan_requests([2.0; 21]).1, 0.0, "a quarter of the limit at each VM needs no loans");
    let (mean, _) = loan_requests(skewed);
    assert!(mean <= 0.1 + 1e-9, "only the VM with the demand sends requests, two per second");
    let (_, most) = loan_requests([16.0; 21]);
    assert!(most <= 2.1, "twice the limit at each VM: each sends two requests per second");
}

#[test]
fn admit_reserves_half_for_interactive_requests() {
    let now = Instant::now();
    let mut limiter = CustomerLimiter::new(100.0, 1, now);
    let later = now + Duration::from_secs(5);
    let mut count = |priority| {
        (0..200).filter(|_| limiter.admit(priority, later) == AdmissionDecision::Admitted).count()
    };
    assert_eq!(count(ClassPriority::Deferrable), 50);
    assert_eq!(count(ClassPriority::Interactive), 50);
    let refused = limiter.admit(ClassPriority::Interactive, later);
    assert_eq!(refused, AdmissionDecision::Refused { retry_after: Duration::from_millis(10) });
}
