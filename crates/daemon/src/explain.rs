//! Tells from a gateway's log lines what became of one request, and why.
//!
//! The lines of all nodes are read once, in any order: those that name the
//! request are its story, and those about the servers that it met, and about
//! the node that took it, are what the story rests on. See
//! `docs/OPERATIONS.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::Deserialize;
use serde_json::Value;

/// Time around a request's lines in which others may have to do with it, in
/// milliseconds: the registry shows a loss after up to four seconds.
const AROUND_MS: u64 = 6_000;
/// Lines about servers and the node that are printed at most.
const MOST_CONTEXT: usize = 24;

/// A line of a log, as the JSON format of `[log]` writes it.
#[derive(Debug, Clone, Deserialize)]
struct Line {
    /// Unix milliseconds.
    timestamp: u64,
    /// What happened.
    payload: String,
    /// The fields; a line without any has none.
    #[serde(default)]
    kv: BTreeMap<String, Value>,
    /// What stood before the JSON: the node, where a collector puts it there.
    #[serde(skip)]
    node: String,
}

impl Line {
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
            .filter_map(|part| part.split_once('='));
        let path = path.map(|(server, _)| server.to_owned());
        let named = listed.chain([self.text("server")]).chain(path);
        named.filter(|name| !name.is_empty()).collect()
    }
}

impl fmt::Display for Line {
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

/// What log lines say of one request.
#[derive(Debug)]
pub struct Explanation {
    request: String,
    story: Vec<Line>,
    /// Lines about servers, nodes and the store, which may matter.
    context: Vec<Line>,
}

/// Lines that say nothing of a request but may explain one.
const CONTEXT: [&str; 8] = [
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
    /// Starts an explanation of the request with this id.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            story: Vec::new(),
            context: Vec::new(),
        }
    }

    /// Takes one line in; lines that are no log lines are passed over.
    pub fn read(&mut self, text: &str) {
        let is_story = text.contains(&self.request);
        if !is_story && !CONTEXT.iter().any(|payload| text.contains(payload)) {
            return;
        }
        let Some(line) = Line::parse(text) else {
            return;
        };
        if line.text("request") == self.request {
            self.story.push(line);
        } else if CONTEXT.contains(&line.payload.as_str()) {
            self.context.push(line);
        }
    }

    /// Tells whether no line names the request.
    pub fn is_empty(&self) -> bool {
        self.story.is_empty()
    }

    /// Returns the request's lines in the order of their time.
    fn story(&self) -> Vec<&Line> {
        let mut story: Vec<&Line> = self.story.iter().collect();
        story.sort_by_key(|line| line.timestamp);
        story
    }

    /// Returns the lines about the request's servers and node near its time.
    fn context(&self) -> Vec<&Line> {
        let times = self.story.iter().map(|line| line.timestamp);
        let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
            return Vec::new();
        };
        let servers: BTreeSet<String> = self.story.iter().flat_map(Line::servers).collect();
        let nodes: BTreeSet<&str> = self.story.iter().map(|line| line.node.as_str()).collect();
        // A node logs a request only after its arrival.
        let waited = self.story.iter().map(|line| line.number("took_ms")).max();
        let from = first.saturating_sub(AROUND_MS + waited.unwrap_or_default());
        let near = |line: &&Line| (from..=last + AROUND_MS).contains(&line.timestamp);
        let concerns = |line: &&Line| {
            let here = nodes.contains(line.node.as_str());
            match line.text("server") {
                server if server.is_empty() => here,
                // Each node logs a change of the registry; the request's own
                // node is enough. Orders are logged by the node that gives them.
                server => {
                    servers.contains(&server) && (here || line.payload.starts_with("an engine"))
                }
            }
        };
        let mut context: Vec<&Line> = self.context.iter().filter(near).filter(concerns).collect();
        context.sort_by_key(|line| line.timestamp);
        context
    }

    /// Returns what most probably was the cause.
    fn cause(&self) -> String {
        let story = self.story();
        let context = self.context();
        let find = |payload: &str| story.iter().rev().find(|line| line.payload == payload);
        if let Some(line) = find("a request was rejected") {
            return rejected(line, &context);
        }
        if let Some(line) = find("a stream was cut") {
            let reason = line.text("reason");
            return format!("The stream was cut: {reason}. {}", fault(&story, &context));
        }
        if let Some(line) = find("a request ended without a server's answer") {
            return ended(line, &story, &context);
        }
        if let Some(line) = find("a stream ended") {
            return streamed(line, &story, &context);
        }
        if let Some(line) = find("a request was answered") {
            let (status, took) = (line.text("status"), line.number("took_ms"));
            return format!(
                "A backend server answered {status} after {took} ms, of which the request waited \
                 {} ms for room here. {}",
                line.number("waited_ms"),
                fault(&story, &context)
            );
        }
        if let Some(line) = find("the node stopped before the end") {
            return format!(
                "The node was stopped, and the request was still open after {} ms, when the time \
                 for its shutdown was over. {}",
                line.number("took_ms"),
                fault(&story, &context)
            );
        }
        if let Some(line) = find("the caller left before the end") {
            let (took, waited) = (line.number("took_ms"), line.number("waited_ms"));
            return format!(
                "The caller left, or its connection broke, after {took} ms, of which the request waited {waited} ms for room; \
                 it had been sent {} times. {}",
                story
                    .iter()
                    .filter(|l| l.payload == "a request is sent")
                    .count(),
                fault(&story, &context)
            );
        }
        let started = |line: &&&Line| line.payload == "the gateway starts";
        match context.iter().find(started) {
            Some(line) => format!(
                "Its node ended without a word and started again at {}.",
                line.timestamp
            ),
            None => "The lines do not tell how it ended: its node was killed, or lines were \
                     dropped (log_lines_dropped)."
                .to_owned(),
        }
    }
}

fn rejected(line: &Line, context: &[&Line]) -> String {
    let (status, reason) = (line.text("status"), line.text("reason"));
    let (version, proof) = (line.text("version"), line.number("proof_ms"));
    // What the node may answer rests on the configuration alone.
    let is_lost =
        |l: &&&Line| l.payload == "a dependency is lost" && l.text("dependency") == "configuration";
    let lost = context.iter().rfind(is_lost);
    let store = lost.map(|l| {
        let (dependency, error) = (l.text("dependency"), l.text("error"));
        format!(" The node had lost its {dependency} in the store: {error}.")
    });
    format!(
        "The node answered {status} by itself: {reason}. It knew version {version}, confirmed \
         {proof} ms before.{}",
        store.unwrap_or_default()
    )
}

fn ended(line: &Line, story: &[&Line], context: &[&Line]) -> String {
    let (status, reason) = (line.text("status"), line.text("reason"));
    let ran = match line.number("runs") {
        0 => "no backend server ran it",
        _ => "a backend server may have run it",
    };
    format!(
        "The node answered {status} by itself after {} ms, of which the request waited {} ms for \
         room: {reason}; {ran}. {}",
        line.number("took_ms"),
        line.number("waited_ms"),
        fault(story, context)
    )
}

fn streamed(line: &Line, story: &[&Line], context: &[&Line]) -> String {
    let path = line.text("path");
    let crossings = path.matches('>').count();
    format!(
        "The stream came to its end: first event after {} ms, of which it waited {} ms for room; \
         longest pause {} ms; moved {} times; its last path crosses {crossings} links between \
         failure domains. {}",
        line.number("first_ms"),
        line.number("waited_ms"),
        line.number("longest_gap_ms"),
        line.number("resumes"),
        fault(story, context)
    )
}

/// Names the servers that failed the request, and what became of them.
fn fault(story: &[&Line], context: &[&Line]) -> String {
    let mut faults = Vec::new();
    for line in story {
        let what = match line.payload.as_str() {
            "a send ended without an answer" => line.text("outcome"),
            "a stream moves to another path" => line.text("why"),
            _ => continue,
        };
        let detail = line.text("detail");
        let suspects = line.text("suspects");
        let at = if suspects.is_empty() {
            line.text("server")
        } else {
            suspects
        };
        let after = line.number("took_ms").max(line.number("silent_ms"));
        let mut text = format!("{what} at {at} after {after} ms");
        if !detail.is_empty() {
            text += &format!(" ({detail})");
        }
        for server in line.servers() {
            if let Some(fate) = fate(&server, context) {
                text += &format!("; {server} {fate}");
            }
        }
        faults.push(text);
    }
    if faults.is_empty() {
        return "No backend server failed it.".to_owned();
    }
    format!("What failed: {}.", faults.join("; then "))
}

/// Says what the registry, or the placement, did with a server.
fn fate(server: &str, context: &[&Line]) -> Option<String> {
    let about = context.iter().filter(|line| line.text("server") == server);
    let mut changes = about.filter_map(|line| match line.payload.as_str() {
        "an engine was told which layers to hold" => {
            Some(format!("was told to hold {}", line.text("layers")))
        }
        "a backend server is gone" => Some("was removed".to_owned()),
        "the registry changed" => match line.text("change").as_str() {
            "removed" => Some("was removed from the registry".to_owned()),
            "draining" => Some("was leaving".to_owned()),
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
                "No line names {}. It did not reach a node whose lines these are, or the lines \
                 were dropped: see log_lines_dropped.",
                self.request
            );
        }
        writeln!(f, "Cause: {}", self.cause())?;
        writeln!(f, "\nThe request:")?;
        for line in self.story() {
            writeln!(f, "  {line}")?;
        }
        let context = self.context();
        writeln!(f, "\nAround it, at its node and servers:")?;
        for line in context.iter().take(MOST_CONTEXT) {
            writeln!(f, "  {line}")?;
        }
        if context.len() > MOST_CONTEXT {
            writeln!(f, "  and {} more", context.len() - MOST_CONTEXT)?;
        }
        Ok(())
    }
}
