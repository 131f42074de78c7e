//! Computes the report of a run from the callers' samples.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use radishhaven_standin::bound::{self, LoadInterval};
use serde::Serialize;

use crate::{
    RunCfg,
    arrivals::{Load, Purpose},
    drive::{Run, Sample},
    scenario::INCIDENT_AT,
};

/// Target for the time from sending to the first token.
const FIRST_TOKEN_TARGET: Duration = Duration::from_secs(1);
/// Length in seconds of the intervals in which goodput is counted.
const INTERVAL_S: f64 = 0.1;
/// Number of intervals over which goodput is averaged.
const WINDOW_INTERVALS: usize = 10;
/// Share of the servable tokens of a window from which it counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// Latency percentiles in milliseconds.
#[derive(Debug, Serialize)]
pub struct Latency {
    p50: f64,
    p95: f64,
    p99: f64,
}

/// Goodput of one phase.
#[derive(Debug, Serialize)]
pub struct PhaseReport {
    factor: f64,
    seconds: f64,
    goodput_per_bound: f64,
}

/// Results of a run; the serialized fields form the JSON report.
#[derive(Debug, Serialize)]
pub struct Report {
    scenario: &'static str,
    deployment: String,
    /// Name of the routing policy.
    pub policy: String,
    seed: u64,
    nodes: usize,
    seconds: f64,
    capacity_per_s: [f64; 2],
    goodput_per_bound: f64,
    /// Tokens per second of answers that were correct, complete and in time.
    pub goodput_tokens_per_s: f64,
    phases: Vec<PhaseReport>,
    /// Recovery time after each mark; `None` if service did not recover.
    recovery_ms: Vec<Option<f64>>,
    /// Violations that the checker found in the records of callers and
    /// stand-ins.
    violations: Vec<String>,
    outcomes: BTreeMap<String, u64>,
    admitted_in_time: f64,
    first_token_in_time: f64,
    first_token_ms: Latency,
    token_gap_ms: Latency,
    rejection_ms: Latency,
    retry_after_ms: Latency,
    retries_per_request: f64,
    steps_per_s: f64,
    node_cpu_per_request_us: f64,
    node_cores: f64,
    process_cores: f64,
    /// Share of completions in time, by phase and organisation.
    organisations: Vec<Vec<f64>>,
    /// Tokens per second of answers in time, by the time at which callers
    /// received the tokens.
    #[serde(skip)]
    pub goodput: Vec<f64>,
    /// Tokens per second that the capacity allowed, by the same intervals.
    #[serde(skip)]
    pub possible: Vec<f64>,
}

impl Report {
    /// Computes the report of a run.
    pub fn new(cfg: &RunCfg, load: &Load, run: &Run) -> Self {
        let series = Series::new(cfg, load, run);
        let total: f64 = series.goodput.iter().sum();
        let possible: f64 = series.possible.iter().sum();
        let first_tokens = latencies(run.samples.iter().filter_map(|s| s.first_token));
        let admitted: Vec<&Sample> = run
            .samples
            .iter()
            .filter(|s| !s.outcome.starts_with("not-run"))
            .collect();
        let with_tokens: Vec<Duration> = admitted.iter().filter_map(|s| s.first_token).collect();
        let within_target = with_tokens.iter().filter(|t| **t <= FIRST_TOKEN_TARGET);
        let rejected = run
            .samples
            .iter()
            .filter(|s| s.outcome.starts_with("not-run"));
        let mut outcomes = BTreeMap::new();
        for sample in &run.samples {
            *outcomes.entry(sample.outcome.clone()).or_default() += 1;
        }
        let marks = cfg.scenario.recovery_marks();
        let requests = load.arrivals.len().max(1) as f64;
        Self {
            scenario: cfg.scenario.name(),
            deployment: cfg.deployment.clone(),
            policy: serde_json::to_value(cfg.policy)
                .ok()
                .and_then(|v| v.as_str().map(str::to_owned))
                .unwrap_or_default(),
            seed: cfg.seed,
            nodes: cfg.nodes,
            seconds: cfg.seconds,
            capacity_per_s: load.capacity,
            goodput_per_bound: total / possible,
            goodput_tokens_per_s: total / cfg.seconds,
            phases: series.phases(load),
            recovery_ms: marks
                .iter()
                .map(|m| series.recovery(m * cfg.seconds, cfg.scenario.phase_end(*m) * cfg.seconds))
                .collect(),
            violations: run.violations.iter().map(ToString::to_string).collect(),
            outcomes,
            admitted_in_time: share(
                admitted.iter().filter(|s| s.in_time).count(),
                admitted.len(),
            ),
            first_token_in_time: share(within_target.count(), with_tokens.len()),
            first_token_ms: first_tokens,
            token_gap_ms: latencies(run.samples.iter().flat_map(|s| s.gaps.iter().copied())),
            rejection_ms: latencies(rejected.map(|s| s.took)),
            retry_after_ms: latencies(run.samples.iter().filter_map(|s| s.retry_after)),
            retries_per_request: run.retries as f64 / requests,
            steps_per_s: run.steps as f64 / cfg.seconds,
            node_cpu_per_request_us: run.node_cpu_s * 1e6 / requests,
            node_cores: run.node_cpu_s / cfg.seconds,
            process_cores: run.process_cpu_s / cfg.seconds,
            organisations: organisations(load, run),
            goodput: smooth(&series.goodput),
            possible: smooth(&series.possible),
        }
    }

    /// Prints the report as a table.
    pub fn print(&self) {
        println!(
            "{} {} {} seed {} nodes {} for {} s",
            self.scenario, self.deployment, self.policy, self.seed, self.nodes, self.seconds
        );
        let row = |name: &str, value: String| println!("  {name:<26} {value}");
        row(
            "goodput per bound",
            format!("{:.3}", self.goodput_per_bound),
        );
        for phase in &self.phases {
            let name = format!("  at {:.1}x for {:.1} s", phase.factor, phase.seconds);
            row(&name, format!("{:.3}", phase.goodput_per_bound));
        }
        row(
            "goodput, tokens/s",
            format!("{:.0}", self.goodput_tokens_per_s),
        );
        let [before, after] = self.capacity_per_s;
        row(
            "capacity, requests/s",
            format!("{before:.1}, later {after:.1}"),
        );
        row("recovery, ms", format!("{:?}", self.recovery_ms));
        row("violations", self.violations.len().to_string());
        for violation in &self.violations {
            println!("    {violation}");
        }
        row("outcomes", format!("{:?}", self.outcomes));
        row("admitted in time", format!("{:.3}", self.admitted_in_time));
        row(
            "first token within 1 s",
            format!("{:.3}", self.first_token_in_time),
        );
        let latency = |l: &Latency| format!("{:.0} / {:.0} / {:.0}", l.p50, l.p95, l.p99);
        row("first token p50/95/99 ms", latency(&self.first_token_ms));
        row("token gap p50/95/99 ms", latency(&self.token_gap_ms));
        row("rejection p50/95/99 ms", latency(&self.rejection_ms));
        row("retry after p50/95/99 ms", latency(&self.retry_after_ms));
        row(
            "retries per request",
            format!("{:.4}", self.retries_per_request),
        );
        row("steps/s", format!("{:.0}", self.steps_per_s));
        row(
            "node CPU, us/request",
            format!("{:.0}", self.node_cpu_per_request_us),
        );
        let cores = format!(
            "{:.2} nodes, {:.2} all",
            self.node_cores, self.process_cores
        );
        row("cores", cores);
        for (phase, shares) in self.organisations.iter().enumerate() {
            let shares: Vec<String> = shares.iter().map(|p| format!("{p:.2}")).collect();
            row(
                &format!("in time by organisation {phase}"),
                shares.join(" "),
            );
        }
    }
}

/// Returns `some / all`, or 0 if `all` is 0.
fn share(some: usize, all: usize) -> f64 {
    some as f64 / all.max(1) as f64
}

/// Returns the latency percentiles of durations.
fn latencies(values: impl Iterator<Item = Duration>) -> Latency {
    let mut histogram: Histogram<u64> =
        Histogram::new(3).expect("three significant figures are allowed");
    for value in values {
        // Recording never fails: the histogram resizes itself to the value.
        let _ = histogram.record(u64::try_from(value.as_micros()).unwrap_or(u64::MAX));
    }
    let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    Latency {
        p50: at(0.50),
        p95: at(0.95),
        p99: at(0.99),
    }
}

/// Tokens by interval, from the start of the run to the last deadline.
struct Series {
    /// Tokens of answers in time, by the time at which callers received them.
    goodput: Vec<f64>,
    /// Tokens that the engines could have generated for the waiting requests.
    possible: Vec<f64>,
    /// Tokens of answers in time, by the time at which their requests arrived.
    served: Vec<f64>,
    /// Tokens, by window, that the engines could serve without queueing.
    allowed: Vec<f64>,
}

impl Series {
    fn new(cfg: &RunCfg, load: &Load, run: &Run) -> Self {
        let deadline = Purpose::Ordinary.deadline().as_secs_f64();
        let count = ((cfg.seconds + deadline) / INTERVAL_S).ceil() as usize;
        let slot = |at: f64| ((at / INTERVAL_S) as usize).min(count - 1);
        let (mut goodput, mut served) = (vec![0.0; count], vec![0.0; count]);
        for sample in run.samples.iter().filter(|s| s.in_time) {
            let arrival = &load.arrivals[sample.arrival];
            if arrival.purpose == Purpose::Booking {
                continue;
            }
            served[slot(arrival.at)] += arrival.expected_text.len() as f64;
            let mut at = arrival.at;
            for pause in sample.first_token.iter().chain(&sample.gaps) {
                at += pause.as_secs_f64();
                goodput[slot(at)] += 1.0;
            }
        }
        let mut offered = vec![0.0; count];
        for arrival in &load.arrivals {
            if arrival.purpose != Purpose::Booking {
                offered[slot(arrival.at)] += arrival.expected_text.len() as f64;
            }
        }
        let interval = |(index, requests): (usize, f64)| LoadInterval {
            requests,
            seconds: INTERVAL_S,
            capacity: load.mean_tokens
                * load.capacity
                    [usize::from(index as f64 * INTERVAL_S >= INCIDENT_AT * cfg.seconds)],
        };
        let intervals: Vec<LoadInterval> = offered.into_iter().enumerate().map(interval).collect();
        Self {
            goodput,
            possible: bound::max_completed(&intervals, deadline),
            served,
            allowed: allowed(&intervals[..(cfg.seconds / INTERVAL_S) as usize]),
        }
    }

    fn phases(&self, load: &Load) -> Vec<PhaseReport> {
        let mut start = 0;
        let report = |phase: &crate::scenario::Phase| {
            let end =
                (start + (phase.seconds / INTERVAL_S).round() as usize).min(self.goodput.len());
            let sum = |values: &[f64]| values[start..end].iter().sum::<f64>();
            let ratio = sum(&self.goodput) / sum(&self.possible);
            start = end;
            PhaseReport {
                factor: phase.factor + phase.noisy_factor,
                seconds: phase.seconds,
                goodput_per_bound: ratio,
            }
        };
        load.phases.iter().map(report).collect()
    }

    /// Returns the milliseconds from `mark` to the end of the last window that
    /// served too little of its arrivals; `None` if the last window before
    /// `until` is such a window.
    fn recovery(&self, mark: f64, until: f64) -> Option<f64> {
        let slots = |at: f64| (at / INTERVAL_S).round() as usize;
        let windows: Vec<bool> = self
            .served
            .windows(WINDOW_INTERVALS)
            .zip(&self.allowed)
            .take(slots(until).saturating_sub(WINDOW_INTERVALS - 1))
            .skip(slots(mark))
            .map(|(served, allowed)| served.iter().sum::<f64>() >= RECOVERED_SHARE * allowed)
            .collect();
        match windows.iter().rposition(|recovered| !recovered) {
            None => Some(0.0),
            Some(last) if last + 1 == windows.len() => None,
            Some(last) => Some((last + 1) as f64 * INTERVAL_S * 1e3),
        }
    }
}

/// Returns for each window the tokens that arrive in it, capped by the
/// capacity of the engines in that time.
fn allowed(intervals: &[LoadInterval]) -> Vec<f64> {
    let window = |window: &[LoadInterval]| {
        let offered: f64 = window.iter().map(|o| o.requests).sum();
        let capacity: f64 = window.iter().map(|o| o.capacity * o.seconds).sum();
        offered.min(capacity)
    };
    intervals.windows(WINDOW_INTERVALS).map(window).collect()
}

/// Returns the moving average as a rate per second.
fn smooth(values: &[f64]) -> Vec<f64> {
    let mean = |w: &[f64]| w.iter().sum::<f64>() / (w.len() as f64 * INTERVAL_S);
    values.windows(WINDOW_INTERVALS).map(mean).collect()
}

/// Returns the share of completions in time, by phase and organisation.
fn organisations(load: &Load, run: &Run) -> Vec<Vec<f64>> {
    let count = load.arrivals.iter().map(|a| a.organisation + 1).max();
    let mut counts = vec![vec![(0, 0); count.unwrap_or(0)]; load.phases.len()];
    for sample in &run.samples {
        let arrival = &load.arrivals[sample.arrival];
        if arrival.purpose == Purpose::Booking {
            continue;
        }
        let mut end = 0.0;
        let phase = load.phases.iter().position(|p| {
            end += p.seconds;
            arrival.at < end
        });
        let (in_time, all) = &mut counts[phase.unwrap_or(0)][arrival.organisation];
        *in_time += usize::from(sample.in_time);
        *all += 1;
    }
    let shares = |phase: Vec<(usize, usize)>| phase.into_iter().map(|(s, a)| share(s, a)).collect();
    counts.into_iter().map(shares).collect()
}
