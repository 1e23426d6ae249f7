//! Parses the routers' log lines, and explains and times requests from them.

use std::collections::BTreeMap;
use std::io::BufRead;

use serde::Serialize;

/// A parsed log line.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LogLine {
    /// The word before the time, which names the instance in a merged log; empty
    /// if there is none.
    pub source: String,
    /// The time in UTC, as logged.
    pub time: String,
    pub fields: BTreeMap<String, String>,
}

/// Latency of the requests of one route that had the same end.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimingRow {
    pub route: String,
    pub end: String,
    pub requests: usize,
    /// Median and 99th percentile of the time to the first byte, in
    /// milliseconds; `None` if no response began.
    pub first_ms: Option<(u64, u64)>,
    /// Median and 99th percentile of the total time, in milliseconds.
    pub took_ms: (u64, u64),
}

impl LogLine {
    /// Parses a line of the form `TIME LEVEL module: key=value …`, optionally with
    /// text before the time. Returns `None` if the line has another form.
    pub fn parse(line: &str) -> Option<Self> {
        let is_time = |word: &&str| word.len() > 20 && word.contains('T') && word.ends_with('Z');
        let time = line.split_whitespace().find(is_time)?;
        let (before, rest) = line.split_once(time)?;
        let source = before.split_whitespace().last().unwrap_or_default().to_owned();
        let (_, mut rest) = rest.split_once(": ")?;
        let mut fields = BTreeMap::new();
        while let Some((key, after)) = rest.split_once('=') {
            let (value, after) = split_value(after);
            fields.insert(key.trim().to_owned(), value);
            rest = after;
        }
        (!fields.is_empty()).then(|| Self { source, time: time.to_owned(), fields })
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    fn has_event(&self, unit: &str, event: &str) -> bool {
        self.field("unit") == Some(unit) && self.field("event") == Some(event)
    }
}

/// Returns whether `text` starts with `key=`.
fn starts_with_field(text: &str) -> bool {
    let key = text.split_once('=').map_or("", |(key, _)| key);
    !key.is_empty() && key.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_')
}

/// Splits `text` after its first value, which is quoted or extends to the next
/// field. Returns the value and the rest.
fn split_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let spaces = text.match_indices(' ').map(|(at, _)| at);
        let mut ends = spaces.filter(|at| starts_with_field(&text[at + 1..]));
        let end = ends.next();
        let (value, rest) = text.split_at(end.unwrap_or(text.len()));
        return (value.to_owned(), rest.trim_start());
    };
    let mut value = String::new();
    let mut is_escaped = false;
    for (at, c) in quoted.char_indices() {
        match c {
            _ if is_escaped => {
                value.push(c);
                is_escaped = false;
            }
            '\\' => is_escaped = true,
            '"' => return (value, quoted[at + 1..].trim_start()),
            _ => value.push(c),
        }
    }
    (value, "")
}

/// Parses all log lines and skips lines of any other form. Ends at the first line
/// that can't be read or is not UTF-8.
pub fn read_lines(reader: impl BufRead) -> Vec<LogLine> {
    let lines = reader.lines().map_while(Result::ok);
    lines.filter_map(|line| LogLine::parse(&line)).collect()
}

/// Returns the lines that explain how a request was handled, in order: its own
/// lines, and earlier ones of the same instance about the state of its targets.
pub fn trace_request<'a>(lines: &'a [LogLine], request: &str) -> Vec<&'a LogLine> {
    let is_own = |line: &&LogLine| line.field("request") == Some(request);
    let Some(last) = lines.iter().rposition(|line| is_own(&line)) else { return Vec::new() };
    let source = &lines[last].source;
    let targets: Vec<&str> =
        lines.iter().filter(is_own).filter_map(|l| l.field("target")).collect();
    let is_target_state = |line: &LogLine| {
        line.source == *source
            && line.field("target").is_some_and(|target| targets.contains(&target))
            && (line.has_event("view", "target") || line.has_event("health", "set_aside"))
    };
    let lines = lines[..=last].iter();
    lines.filter(|line| is_own(line) || is_target_state(line)).collect()
}

/// Describes a line of a trace in a sentence.
pub fn describe(line: &LogLine) -> String {
    let field = |name| line.field(name).unwrap_or("-");
    let description = match (field("unit"), field("event")) {
        ("view", "target") => format!(
            "target {} was {} at revision {} (from {})",
            field("target"),
            field("change"),
            field("revision"),
            field("origin"),
        ),
        ("health", "set_aside") => format!(
            "target {} was ejected: outcome {}, recent failure rate {}",
            field("target"),
            field("outcome"),
            field("rate"),
        ),
        ("send", "attempt_failed") => format!(
            "attempt at target {} ({}) failed: {}; {}",
            field("target"),
            field("address"),
            field("cause"),
            if field("goes_on") == "true" { "sent to another" } else { "given up" },
        ),
        ("pipeline", "answer_lost") => format!(
            "the response of target {} was lost: {}; {}",
            field("target"),
            field("cause"),
            if field("goes_on") == "true" { "sent to another" } else { "given up" },
        ),
        ("relay", "resumed") => {
            format!(
                "the stream broke ({}) and was resumed after event {}",
                field("cause"),
                field("after")
            )
        }
        ("relay", "run_rejected") => format!(
            "what target {} sent was not passed on after event {}: {}",
            field("target"),
            field("after"),
            field("cause"),
        ),
        ("streams", "taken_up") => format!(
            "takes up the stream of request {}, which goes on at software version {} of {} (by {})",
            field("resumed"),
            field("version"),
            field("service"),
            describe_source(line),
        ),
        ("streams", "not_known") => format!(
            "takes up the stream of request {}, and nobody knows which software version of {} \
             began it (by {}); targets as of {} ms ago",
            field("resumed"),
            field("service"),
            describe_source(line),
            field("view_age"),
        ),
        ("call", "ended") => describe_end(line),
        (unit, event) => format!("{unit}: {event}"),
    };
    format!("{} {description}", line.time)
}

/// Describes how it became known what began a stream.
fn describe_source(line: &LogLine) -> &'static str {
    match line.field("learned") {
        Some("Holders") => "the answers of its holders",
        _ => "what the instance itself knows",
    }
}

fn describe_end(line: &LogLine) -> String {
    let field = |name| line.field(name).unwrap_or("-");
    let mut description = format!(
        "ended {} after {} ms: {}, status {}",
        field("end"),
        field("took_ms"),
        field("cause"),
        field("status"),
    );
    if let Some(detail) = line.field("detail") {
        description += &format!(" ({detail})");
    }
    if let Some(wait) = line.field("retry_after_ms") {
        description += &format!(", retry allowed after {wait} ms");
    }
    if line.field("within_share") == Some("false") {
        description += &format!(
            "; account {} asks for {} tokens/s and its share is {}",
            field("account"),
            field("asked"),
            field("share"),
        );
    }
    if let Some(expected) = line.field("expected_ms") {
        description += &format!(
            "; the target was expected to respond after {expected} ms, {} ms of them queued, \
             at {} requests per slot",
            field("waiting_ms"),
            field("occupancy"),
        );
    }
    if let Some(first) = line.field("first_ms") {
        description += &format!("; first byte after {first} ms");
    }
    description
        + &format!(
            "; route {}, target {}, sent {} times, configuration {}, revision {}",
            field("route"),
            field("target"),
            field("sent"),
            field("version"),
            field("revision"),
        )
}

/// Returns the latency of requests by route and end.
pub fn timings(lines: &[LogLine]) -> Vec<TimingRow> {
    type Times = (Vec<u64>, Vec<u64>);
    let mut groups: BTreeMap<(String, String), Times> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.has_event("call", "ended")) {
        let text = |name| line.field(name).unwrap_or("-").to_owned();
        let number = |name| line.field(name).and_then(|value| value.parse::<u64>().ok());
        let (first, took) = groups.entry((text("route"), text("end"))).or_default();
        first.extend(number("first_ms"));
        took.extend(number("took_ms"));
    }
    let rows = groups.into_iter().map(|((route, end), (mut first, mut took))| {
        let requests = took.len();
        let first_ms = (!first.is_empty()).then(|| percentiles(&mut first));
        TimingRow { route, end, requests, first_ms, took_ms: percentiles(&mut took) }
    });
    rows.collect()
}

/// Returns the median and the 99th percentile by nearest rank, zeros if there are
/// no values.
fn percentiles(values: &mut [u64]) -> (u64, u64) {
    values.sort_unstable();
    let percentile = |percent: usize| {
        let rank = (values.len() * percent).div_ceil(100).max(1);
        values.get(rank - 1).copied().unwrap_or(0)
    };
    (percentile(50), percentile(99))
}
