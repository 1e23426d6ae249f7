//! The load of a simulated fleet, and what its callers saw.

use work::WorkSettings;

/// How targets are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The local estimate with late announcements.
    Local,
    /// The fewest requests of all targets, known without delay.
    LeastOutstanding,
    /// The fewer requests of two random targets, known without delay.
    TwoChoices,
    Ledger,
}

/// Length of prompts: tokens, shared tokens, generated tokens, target in milliseconds, and
/// frequency in percent.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub prompt: f64,
    pub shared: f64,
    pub parts: u64,
    pub output: f64,
    pub target_ms: u64,
    pub percent: u64,
}

pub const KINDS: [Kind; 3] = [
    Kind {
        prompt: 12_000.0,
        shared: 5_400.0,
        parts: 585,
        output: 60.0,
        target_ms: 400,
        percent: 15,
    },
    Kind { prompt: 830.0, shared: 0.0, parts: 0, output: 50.0, target_ms: 250, percent: 60 },
    Kind { prompt: 2_400.0, shared: 0.0, parts: 0, output: 60.0, target_ms: 400, percent: 25 },
];

#[derive(Clone, Debug)]
pub struct Load {
    pub policy: Policy,
    pub settings: WorkSettings,
    pub instances: usize,
    pub engines: usize,
    pub speeds: [f64; 4],
    pub memory_tokens: f64,
    pub kinds: [Kind; 3],
    pub per_second: f64,
    /// Part of the mean by which the demand of an instance swings, and whether the two failure
    /// domains are in opposite phase.
    pub swing: (f64, bool),
    /// Messages lost, in percent.
    pub lost_percent: u64,
    /// Part of the targets that leaves after half of the time.
    pub gone: f64,
    pub run_ms: u64,
    /// Whether the reported slow-down and the learned speed reach the owners.
    pub reports: bool,
    pub seed: u64,
}

impl Load {
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            settings: WorkSettings::default(),
            instances: 80,
            engines: 60,
            speeds: [0.55, 1.2, 1.2, 1.2],
            memory_tokens: 400_000.0,
            kinds: KINDS,
            per_second: 1_300.0,
            swing: (0.3, false),
            lost_percent: 0,
            gone: 0.0,
            run_ms: 8_000,
            reports: true,
            seed: 1,
        }
    }
}

/// What the callers of one kind saw.
#[derive(Clone, Debug, Default)]
pub struct KindOutcome {
    pub requests: u32,
    pub within: u32,
    pub refused: u32,
    /// Expected and true time to the first event in milliseconds.
    pub times: Vec<(f64, f64)>,
}

impl KindOutcome {
    pub fn mean_error_ms(&self) -> f64 {
        let errors = self.times.iter().map(|(expected, actual)| (expected - actual).abs());
        errors.sum::<f64>() / self.times.len().max(1) as f64
    }

    fn quantile(&self, q: f64, of: fn(&(f64, f64)) -> f64) -> f64 {
        let mut values: Vec<f64> = self.times.iter().map(of).collect();
        values.sort_by(f64::total_cmp);
        values.get((values.len() as f64 * q) as usize).copied().unwrap_or(0.0)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub kinds: [KindOutcome; 3],
    pub datagrams: u64,
    pub preempted: u32,
    pub unanswered: u32,
}

impl Outcome {
    /// Returns the part of requests whose first event came within the target.
    pub fn within(&self) -> f64 {
        let within: u32 = self.kinds.iter().map(|kind| kind.within).sum();
        let requests: u32 = self.kinds.iter().map(|kind| kind.requests).sum();
        f64::from(within) / f64::from(requests.max(1))
    }

    pub fn print(&self, name: &str) {
        println!(
            "{name}: within {:.4}, datagrams {}, preempted {}, unanswered {}",
            self.within(),
            self.datagrams,
            self.preempted,
            self.unanswered
        );
        for kind in &self.kinds {
            println!(
                "  {} requests, within {:.4}, refused {}, error {:.0}, expected {:.0}/{:.0}, true {:.0}/{:.0}/{:.0}",
                kind.requests,
                f64::from(kind.within) / f64::from(kind.requests.max(1)),
                kind.refused,
                kind.mean_error_ms(),
                kind.quantile(0.5, |t| t.0),
                kind.quantile(0.9, |t| t.0),
                kind.quantile(0.5, |t| t.1),
                kind.quantile(0.9, |t| t.1),
                kind.quantile(0.98, |t| t.1),
            );
        }
    }
}
