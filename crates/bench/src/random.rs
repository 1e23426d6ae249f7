//! Random numbers that depend only on the seed.

use base::stable_hash;

/// Generator whose sequence depends only on the seed and the key.
#[derive(Clone, Debug)]
pub(crate) struct SeededRng {
    key: String,
    count: u64,
}

impl SeededRng {
    pub(crate) fn new(seed: u64, key: &str) -> Self {
        Self { key: format!("{seed}/{key}"), count: 0 }
    }

    /// Returns a uniformly distributed number of at least 0 and less than 1.
    pub(crate) fn uniform(&mut self) -> f64 {
        self.count += 1;
        let hash = stable_hash(&[&self.key, &self.count.to_string()]);
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a log-normally distributed length with the given mean, at least 1
    /// and at most `max`. The normal number comes from the Box-Muller transform
    /// (1958).
    pub(crate) fn log_normal_length(&mut self, mean: f64, max: u64) -> u64 {
        /// Standard deviation of the logarithm of the length.
        const SIGMA: f64 = 0.8;
        let (first, second) = (1.0 - self.uniform(), self.uniform());
        let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
        let value = (mean.ln() - SIGMA * SIGMA / 2.0 + SIGMA * normal).exp();
        (value.round() as u64).clamp(1, max)
    }
}
