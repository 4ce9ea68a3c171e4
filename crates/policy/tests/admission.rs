//! A customer's limit holds over all its VMs, whatever is lost or cut.

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

/// Limiters that lend to each other; loans get lost, or VMs reach only their own side.
struct LimiterGroup {
    limiters: Vec<CustomerLimiter>,
    names: Vec<VmId>,
    loss: f64,
    cut: Option<usize>,
    now: Instant,
    generator: Pcg64Mcg,
    admitted: Vec<u64>,
    /// Calls for loans that each VM made.
    calls: Vec<u64>,
}

impl LimiterGroup {
    fn new(count: usize, limit: f64) -> LimiterGroup {
        let now = Instant::now();
        LimiterGroup {
            limiters: vec![CustomerLimiter::new(limit, count, now); count],
            names: (0..count).map(|number| format!("{number}").into()).collect(),
            loss: 0.0,
            cut: None,
            now,
            generator: Pcg64Mcg::seed_from_u64(3),
            admitted: vec![0; count],
            calls: vec![0; count],
        }
    }

    /// Offers `demand` requests a second at each VM for a while; gives back what was admitted.
    fn run(&mut self, duration: Duration, demand: &[f64]) -> u64 {
        let before: u64 = self.admitted.iter().sum();
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            for (number, demand) in demand.iter().enumerate() {
                let expected = demand * STEP.as_secs_f64();
                let extra = self.generator.random_bool(expected.fract());
                for _ in 0..expected as u64 + u64::from(extra) {
                    let answer = self.limiters[number].admit(ClassPriority::Interactive, self.now);
                    self.admitted[number] += u64::from(answer == AdmissionDecision::Admitted);
                }
                self.borrow(number);
            }
        }
        self.admitted.iter().sum::<u64>() - before
    }

    fn borrow(&mut self, from: usize) {
        let (names, now) = (&self.names, self.now);
        let Some(call) = self.limiters[from].next_loan_request(names, now) else { return };
        self.calls[from] += 1;
        let to = names.iter().position(|name| *name == call.vm).unwrap();
        let is_cut = self.cut.is_some_and(|cut| (from < cut) != (to < cut));
        if to == from || is_cut || self.generator.random_bool(self.loss) {
            return;
        }
        let lent = self.limiters[to].lend(&names[from], call.rate, now);
        if !self.generator.random_bool(self.loss) {
            self.limiters[from].record_loan(&names[to], lent, now, now + STEP);
        }
    }
}

#[test]
fn limiter_rate_follows_the_demand() {
    let mut group = LimiterGroup::new(7, 700.0);
    let demand = [600.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0];
    group.run(Duration::from_secs(5), &demand);
    let admitted = group.run(Duration::from_secs(10), &demand);
    println!("600/s at one of 7 VMs, limit 700/s: {} a second", admitted / 10);
    assert!(admitted > 10 * 540, "nine tenths of the demand get through at one VM");
}

#[test]
fn limiter_sum_stays_below_the_limit_under_loss_and_cut() {
    for (loss, cut) in [(0.0, None), (0.3, None), (0.0, Some(3)), (0.3, Some(1))] {
        let mut group = LimiterGroup::new(7, 700.0);
        (group.loss, group.cut) = (loss, cut);
        let mut generator = Pcg64Mcg::seed_from_u64(11);
        let mut total = 0;
        for _ in 0..20 {
            let demand: Vec<f64> =
                (0..7).map(|_| 900.0 * generator.random_range(0.0..1.0_f64).powi(3)).collect();
            total += group.run(Duration::from_secs(3), &demand);
        }
        println!("loss {loss}, cut {cut:?}: {total} of {} admitted", 60 * 700);
        assert!(total <= 61 * 700, "one second's worth above the limit at most");
        let usable: f64 = group.limiters.iter().map(|limiter| limiter.usable_rate(group.now)).sum();
        assert!(usable <= 700.0 + 1e-6);
    }
}

#[test]
fn limiter_overshoot_of_uncounted_vms_is_a_part_each() {
    let mut group = LimiterGroup::new(7, 700.0);
    group.limiters.push(CustomerLimiter::new(700.0, 7, group.now));
    group.names.push("new".into());
    group.admitted.push(0);
    group.calls.push(0);
    let admitted = group.run(Duration::from_secs(20), &[200.0; 8]);
    assert!(admitted <= 21 * 800, "one part of 100 above the limit");
}

#[test]
fn limiter_calls_for_loans_by_demand() {
    const SECONDS: u64 = 30;
    let calls = |demand: [f64; 21]| {
        let mut group = LimiterGroup::new(21, 168.0);
        group.run(Duration::from_secs(5), &demand);
        group.calls.fill(0);
        group.run(Duration::from_secs(SECONDS), &demand);
        let rates = group.calls.iter().map(|calls| *calls as f64 / SECONDS as f64);
        let (mean, most) = (rates.clone().sum::<f64>() / 21.0, rates.fold(0.0, f64::max));
        println!("demand {:?}..: calls/s a VM: mean {mean:.2}, most {most:.2}", &demand[..2]);
        (mean, most)
    };
    let mut lopsided = [0.0; 21];
    lopsided[0] = 140.0;
    assert_eq!(calls([2.0; 21]).1, 0.0, "a quarter of the limit everywhere asks nobody");
    let (mean, _) = calls(lopsided);
    assert!(mean <= 0.1 + 1e-9, "only the VM with the demand asks, twice a second");
    let (_, most) = calls([16.0; 21]);
    assert!(most <= 2.1, "twice the limit everywhere: each VM asks twice a second");
}

#[test]
fn admit_keeps_half_for_interactive_requests() {
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
