//! Explains the outcome of one request from the log lines of gateways.
//!
//! The lines of all nodes are read once, in any order. The lines that name the
//! request form its timeline; lines about the servers that it was sent to, and
//! about the node that received it, form its context. See `docs/OPERATIONS.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::Deserialize;
use serde_json::Value;

/// Time before and after a request's lines in which other lines may be related
/// to it, in milliseconds. The registry shows the loss of a server after up to
/// four seconds.
const CONTEXT_WINDOW_MS: u64 = 6_000;
/// Largest number of context lines that are printed.
const MAX_CONTEXT_LINES: usize = 24;

/// A log line in the JSON format of `[log]`.
#[derive(Debug, Clone, Deserialize)]
struct LogLine {
    /// Unix time in milliseconds.
    timestamp: u64,
    /// The message.
    payload: String,
    /// The fields. They are missing in the JSON if there are none.
    #[serde(default)]
    kv: BTreeMap<String, Value>,
    /// The last word before the JSON: the name of the node, if a log collector
    /// adds it there.
    #[serde(skip)]
    node: String,
}

impl LogLine {
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let mut line: Self = serde_json::from_str(text[start..].trim_end()).ok()?;
        let last = text[..start].split_whitespace().last();
        line.node = last.unwrap_or_default().to_owned();
        Some(line)
    }

    fn text(&self, field: &str) -> String {
        match self.kv.get(field) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    fn number(&self, field: &str) -> u64 {
        self.kv
            .get(field)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }

    /// Returns the backend servers that the line names.
    fn servers(&self) -> Vec<String> {
        let listed = self.text("suspects");
        let listed = listed.split(',').map(str::to_owned);
        // A path lists `server=layers` after its predicted times.
        let path = self.text("path");
        let path = path
            .split_whitespace()
            .filter_map(|word| word.split_once('='));
        let path = path.map(|(server, _)| server.to_owned());
        let named = listed.chain([self.text("server")]).chain(path);
        named.filter(|name| !name.is_empty()).collect()
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.timestamp, self.node, self.payload)?;
        for (name, value) in self.kv.iter().filter(|(name, _)| *name != "request") {
            match value {
                Value::String(text) if text.is_empty() => {}
                Value::String(text) => write!(f, " {name}={text}")?,
                value => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// What the log lines contain about one request.
#[derive(Debug)]
pub struct Explanation {
    request: String,
    timeline: Vec<LogLine>,
    /// Lines about servers, nodes and the store that may be related.
    context: Vec<LogLine>,
}

/// Messages of lines that name no request but may explain its outcome.
const CONTEXT_PAYLOADS: [&str; 8] = [
    "the registry changed",
    "a backend server is gone",
    "an engine was told which layers to hold",
    "a dependency is lost",
    "a dependency is back",
    "a configuration is in force",
    "shutting down gracefully",
    "the gateway starts",
];

impl Explanation {
    /// Creates an explanation, without any lines, of the request with this id.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            timeline: Vec::new(),
            context: Vec::new(),
        }
    }

    /// Adds one line of input. Lines that aren't log lines are ignored.
    pub fn add_line(&mut self, text: &str) {
        let names_request = text.contains(&self.request);
        if !names_request
            && !CONTEXT_PAYLOADS
                .iter()
                .any(|payload| text.contains(payload))
        {
            return;
        }
        let Some(line) = LogLine::parse(text) else {
            return;
        };
        if line.text("request") == self.request {
            self.timeline.push(line);
        } else if CONTEXT_PAYLOADS.contains(&line.payload.as_str()) {
            self.context.push(line);
        }
    }

    /// Returns whether no line names the request.
    pub fn is_empty(&self) -> bool {
        self.timeline.is_empty()
    }

    /// Returns the lines of the request, ordered by time.
    fn timeline(&self) -> Vec<&LogLine> {
        let mut timeline: Vec<&LogLine> = self.timeline.iter().collect();
        timeline.sort_by_key(|line| line.timestamp);
        timeline
    }

    /// Returns the lines about the request's servers and node near its time,
    /// ordered by time.
    fn context(&self) -> Vec<&LogLine> {
        let times = self.timeline.iter().map(|line| line.timestamp);
        let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
            return Vec::new();
        };
        let servers: BTreeSet<String> = self.timeline.iter().flat_map(LogLine::servers).collect();
        let nodes: BTreeSet<&str> = self
            .timeline
            .iter()
            .map(|line| line.node.as_str())
            .collect();
        // A node logs a request only after its arrival.
        let longest = self
            .timeline
            .iter()
            .map(|line| line.number("took_ms"))
            .max();
        let from = first.saturating_sub(CONTEXT_WINDOW_MS + longest.unwrap_or_default());
        let is_near = |line: &&LogLine| (from..=last + CONTEXT_WINDOW_MS).contains(&line.timestamp);
        let is_related = |line: &&LogLine| {
            let on_its_node = nodes.contains(line.node.as_str());
            match line.text("server") {
                server if server.is_empty() => on_its_node,
                // Every node logs a change of the registry, so the lines of the
                // request's own nodes are enough. Orders are logged only by the
                // node that sends them.
                server => {
                    servers.contains(&server)
                        && (on_its_node || line.payload.starts_with("an engine"))
                }
            }
        };
        let mut context: Vec<&LogLine> = self
            .context
            .iter()
            .filter(is_near)
            .filter(is_related)
            .collect();
        context.sort_by_key(|line| line.timestamp);
        context
    }

    /// Returns the most probable cause of the outcome.
    fn cause(&self) -> String {
        let timeline = self.timeline();
        let context = self.context();
        let find = |payload: &str| timeline.iter().rev().find(|line| line.payload == payload);
        if let Some(line) = find("a request was rejected") {
            return explain_rejection(line, &context);
        }
        if let Some(line) = find("a stream was cut") {
            let reason = line.text("reason");
            return format!(
                "The stream was cut: {reason}. {}",
                failures(&timeline, &context)
            );
        }
        if let Some(line) = find("a request ended without a server's answer") {
            return explain_own_response(line, &timeline, &context);
        }
        if let Some(line) = find("a stream ended") {
            return explain_stream(line, &timeline, &context);
        }
        if let Some(line) = find("a request was answered") {
            let (status, took) = (line.text("status"), line.number("took_ms"));
            return format!(
                "A backend server responded with status {status} after {took} ms, including \
                 {} ms of waiting for capacity. {}{}",
                line.number("waited_ms"),
                hedge(&timeline),
                failures(&timeline, &context)
            );
        }
        if let Some(line) = find("the node stopped before the end") {
            return format!(
                "The node stopped before the request ended: the time for the shutdown was over \
                 {} ms after the request arrived. {}",
                line.number("took_ms"),
                failures(&timeline, &context)
            );
        }
        if let Some(line) = find("the caller left before the end") {
            let (took, waited) = (line.number("took_ms"), line.number("waited_ms"));
            return format!(
                "The caller disconnected, or its connection broke, after {took} ms, including {waited} ms of waiting for capacity; \
                 the request had been sent {} times. {}",
                timeline
                    .iter()
                    .filter(|l| l.payload == "a request is sent")
                    .count(),
                failures(&timeline, &context)
            );
        }
        let is_start = |line: &&&LogLine| line.payload == "the gateway starts";
        match context.iter().find(is_start) {
            Some(line) => format!(
                "The node exited without logging the end of the request, and started again at {}.",
                line.timestamp
            ),
            None => {
                "The log lines do not show how the request ended: the node was killed, or lines \
                     were dropped (log_lines_dropped)."
                    .to_owned()
            }
        }
    }
}

fn explain_rejection(line: &LogLine, context: &[&LogLine]) -> String {
    let (status, reason) = (line.text("status"), line.text("reason"));
    let (version, proof) = (line.text("version"), line.number("proof_ms"));
    // Whether the node may reject a request depends on the configuration alone,
    // so other dependencies are skipped.
    let is_lost = |l: &&&LogLine| {
        l.payload == "a dependency is lost" && l.text("dependency") == "configuration"
    };
    let lost = context.iter().rfind(is_lost);
    let store_error = lost.map(|l| {
        let (dependency, error) = (l.text("dependency"), l.text("error"));
        format!(" The node could not read the {dependency} from the store: {error}.")
    });
    format!(
        "The node itself responded with status {status}: {reason}. It had version {version} of the \
         configuration, last confirmed {proof} ms earlier.{}",
        store_error.unwrap_or_default()
    )
}

fn explain_own_response(line: &LogLine, timeline: &[&LogLine], context: &[&LogLine]) -> String {
    let (status, reason) = (line.text("status"), line.text("reason"));
    let execution = match line.number("runs") {
        0 => "no backend server ran the request",
        _ => "a backend server may have run the request",
    };
    format!(
        "The node itself responded with status {status} after {} ms, including {} ms of waiting for \
         capacity: {reason}; {execution}. {}{}",
        line.number("took_ms"),
        line.number("waited_ms"),
        hedge(timeline),
        failures(timeline, context)
    )
}

fn explain_stream(line: &LogLine, timeline: &[&LogLine], context: &[&LogLine]) -> String {
    let path = line.text("path");
    let crossings = path.matches('>').count();
    format!(
        "The stream was complete: first event after {} ms, including {} ms of waiting for capacity; \
         longest gap {} ms; resumed {} times; its last path crosses {crossings} links between \
         failure domains. {}",
        line.number("first_ms"),
        line.number("waited_ms"),
        line.number("longest_gap_ms"),
        line.number("resumes"),
        failures(timeline, context)
    )
}

/// Describes the second attempt of a slow request, if there was one.
fn hedge(timeline: &[&LogLine]) -> String {
    let find = |payload: &str| timeline.iter().find(|line| line.payload == payload);
    let Some(sent) = find("a hedge is sent") else {
        return String::new();
    };
    let outcome = match find("a hedge won") {
        Some(won) => format!(
            "{} answered {} ms after that, and the first attempt was cancelled",
            won.text("server"),
            won.number("took_ms")
        ),
        None => "it was not the first to answer".to_owned(),
    };
    format!(
        "{} had not answered after {} ms, so the request was also sent to {}: {outcome}. ",
        sent.text("first"),
        sent.number("first_age_ms"),
        sent.text("server"),
    )
}

/// Lists the failures of backend servers, and what happened to these servers.
fn failures(timeline: &[&LogLine], context: &[&LogLine]) -> String {
    let mut parts = Vec::new();
    for line in timeline {
        let failure = match line.payload.as_str() {
            "a send ended without an answer" => line.text("outcome"),
            "a stream moves to another path" => line.text("why"),
            _ => continue,
        };
        let detail = line.text("detail");
        let suspects = line.text("suspects");
        let servers = if suspects.is_empty() {
            line.text("server")
        } else {
            suspects
        };
        let after = line.number("took_ms").max(line.number("silent_ms"));
        let mut text = format!("{failure} at {servers} after {after} ms");
        if !detail.is_empty() {
            text += &format!(" ({detail})");
        }
        for server in line.servers() {
            if let Some(outcome) = server_outcome(&server, context) {
                text += &format!("; {server} {outcome}");
            }
        }
        parts.push(text);
    }
    if parts.is_empty() {
        return "No backend server failed the request.".to_owned();
    }
    format!("Failures: {}.", parts.join("; then "))
}

/// Returns the last change of a server, in the registry or by placement.
fn server_outcome(server: &str, context: &[&LogLine]) -> Option<String> {
    let about = context.iter().filter(|line| line.text("server") == server);
    let mut changes = about.filter_map(|line| match line.payload.as_str() {
        "an engine was told which layers to hold" => {
            Some(format!("was ordered to hold {}", line.text("layers")))
        }
        "a backend server is gone" => Some("was removed".to_owned()),
        "the registry changed" => match line.text("change").as_str() {
            "removed" => Some("was removed from the registry".to_owned()),
            "draining" => Some("was draining".to_owned()),
            "added" => Some("had just started".to_owned()),
            _ => None,
        },
        _ => None,
    });
    changes.next_back()
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(
                f,
                "No log line names {}. The request did not reach a node that wrote these lines, or \
                 its lines were dropped (log_lines_dropped).",
                self.request
            );
        }
        writeln!(f, "Cause: {}", self.cause())?;
        writeln!(f, "\nLog lines of the request:")?;
        for line in self.timeline() {
            writeln!(f, "  {line}")?;
        }
        let context = self.context();
        writeln!(f, "\nRelated log lines of its node and servers:")?;
        for line in context.iter().take(MAX_CONTEXT_LINES) {
            writeln!(f, "  {line}")?;
        }
        if context.len() > MAX_CONTEXT_LINES {
            writeln!(f, "  and {} more", context.len() - MAX_CONTEXT_LINES)?;
        }
        Ok(())
    }
}
