//! Metrics clients: StatsD over UDP, or kept in the process and rendered in the
//! Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use anyhow::Context;
use cadence::{BufferedUdpMetricSink, MetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};

/// Returns a StatsD client that sends to `address`, or that discards all metrics
/// if there is none.
///
/// # Errors
/// Fails if no UDP socket can be opened for the address.
pub fn metrics_client(prefix: &str, address: Option<SocketAddr>) -> anyhow::Result<StatsdClient> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(prefix, NopMetricSink));
    };
    let socket = UdpSocket::bind("0.0.0.0:0")
        .with_context(|| format!("step=open_metrics_socket peer={address}"))?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket)
        .with_context(|| format!("step=open_metrics_sink peer={address}"))?;
    Ok(StatsdClient::from_sink(prefix, QueuingMetricSink::from(sink)))
}

/// Upper bounds of the histogram buckets, in milliseconds. The latency goals of
/// callers lie between 100 ms and several seconds.
const BUCKETS_MS: [f64; 10] =
    [10.0, 25.0, 50.0, 100.0, 200.0, 300.0, 600.0, 1_200.0, 2_500.0, 10_000.0];

#[derive(Debug, Default)]
struct Histogram {
    /// Number of values at or below each bound, lowest bound first.
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    sum: f64,
}

#[derive(Debug, Default)]
struct Registry {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, f64>,
    histograms: BTreeMap<String, Histogram>,
}

/// Sink that keeps counters, gauges and histograms in the process.
#[derive(Clone, Debug, Default)]
pub struct PrometheusSink(Arc<Mutex<Registry>>);

impl PrometheusSink {
    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let registry = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (name, count) in &registry.counters {
            let _ = writeln!(text, "# TYPE {name}_total counter\n{name}_total {count}");
        }
        for (name, value) in &registry.gauges {
            let _ = writeln!(text, "# TYPE {name} gauge\n{name} {value}");
        }
        for (name, histogram) in &registry.histograms {
            let _ = writeln!(text, "# TYPE {name} histogram");
            for (bound, count) in BUCKETS_MS.iter().zip(histogram.buckets) {
                let _ = writeln!(text, "{name}_bucket{{le=\"{bound}\"}} {count}");
            }
            let Histogram { count, sum, .. } = histogram;
            let _ = writeln!(text, "{name}_bucket{{le=\"+Inf\"}} {count}");
            let _ = writeln!(text, "{name}_sum {sum}\n{name}_count {count}");
        }
        text
    }

    /// Records one line of the client, `name:value|type`. Returns `None` if the
    /// line is malformed or the type is none of counter, gauge and histogram.
    fn record_line(&self, line: &str) -> Option<()> {
        let (name, rest) = line.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        let name = name.replace(['.', '-'], "_").to_ascii_lowercase();
        let value: f64 = value.parse().ok()?;
        let mut registry = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match kind.split('|').next()? {
            "c" => *registry.counters.entry(name).or_default() += value as u64,
            "g" => {
                registry.gauges.insert(name, value);
            }
            "h" => {
                let histogram = registry.histograms.entry(name).or_default();
                histogram.count += 1;
                histogram.sum += value;
                for (bound, count) in BUCKETS_MS.iter().zip(&mut histogram.buckets) {
                    *count += u64::from(value <= *bound);
                }
            }
            _ => return None,
        }
        Some(())
    }
}

impl MetricSink for PrometheusSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let invalid =
            || io::Error::other(format!("metric {metric} is malformed or has an unknown type"));
        self.record_line(metric).ok_or_else(invalid)?;
        Ok(metric.len())
    }
}

/// Returns a client that keeps its metrics in the process, and the sink that
/// renders them.
pub fn prometheus_client(prefix: &str) -> (StatsdClient, PrometheusSink) {
    let sink = PrometheusSink::default();
    (StatsdClient::from_sink(prefix, sink.clone()), sink)
}
