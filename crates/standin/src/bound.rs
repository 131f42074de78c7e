//! Computes an upper bound on throughput as a maximum flow over layer boundaries.
//!
//! The bound depends only on the step costs of the engines. It shares no code
//! with the routing of the nodes, so that goodput can be compared with it.

use std::collections::VecDeque;

use radishhaven_core::ids::LayerRange;

use crate::engine::{PREFIX_POSITIONS, StepCost};

/// Residual flow, in requests per second, at which an edge counts as saturated.
const MIN_FLOW: f64 = 1e-6;

/// The average request of a load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeanRequest {
    /// Number of prompt positions.
    pub prompt: f64,
    /// Number of generated tokens.
    pub tokens: f64,
}

/// Layers, step cost and batch size of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCapacity {
    /// The layers that the engine holds.
    pub layers: LayerRange,
    /// Processing time of its steps.
    pub cost: StepCost,
    /// Maximum number of steps in a batch.
    pub max_batch: usize,
}

impl EngineCapacity {
    /// Returns its throughput in requests per second when all batches are full
    /// and every prefix is cached.
    pub fn requests_per_s(&self, request: MeanRequest) -> f64 {
        let layers = f64::from(self.layers.count());
        let cost = &self.cost;
        let shared = cost.base_us as f64 + cost.per_layer_us as f64 * layers;
        let positions = request.prompt + request.tokens - 1.0;
        let cached = (PREFIX_POSITIONS as f64).min(request.prompt);
        let us = request.tokens * (shared / self.max_batch as f64 + cost.per_step_us as f64)
            + (positions - cached) * cost.per_position_us as f64;
        1e6 / us
    }
}

/// Returns the maximum throughput of the engines together, in requests per second.
pub fn max_throughput(engines: &[EngineCapacity], layers: u16, request: MeanRequest) -> f64 {
    let mut graph = Graph::new(usize::from(layers) + 1 + 2 * engines.len());
    for (index, engine) in engines.iter().enumerate() {
        let entry = usize::from(layers) + 1 + 2 * index;
        graph.connect(entry, entry + 1, engine.requests_per_s(request));
        graph.connect(entry + 1, usize::from(engine.layers.end()), f64::INFINITY);
        for boundary in engine.layers.start()..engine.layers.end() {
            graph.connect(usize::from(boundary), entry, f64::INFINITY);
        }
    }
    graph.max_flow(0, usize::from(layers))
}

/// The offered load and the capacity during a time interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadInterval {
    /// Number of requests that arrive in the interval.
    pub requests: f64,
    /// Length of the interval in seconds.
    pub seconds: f64,
    /// Maximum throughput during the interval in requests per second.
    pub capacity: f64,
}

/// Returns the maximum number of requests that can complete in each interval.
///
/// Requests that have waited longer than `max_wait_s` seconds are dropped.
pub fn max_completed(intervals: &[LoadInterval], max_wait_s: f64) -> Vec<f64> {
    let mut waiting: VecDeque<(f64, f64)> = VecDeque::new();
    let mut now = 0.0;
    let mut completed = Vec::new();
    for interval in intervals {
        waiting.push_back((now, interval.requests));
        while waiting.front().is_some_and(|(at, _)| now - at > max_wait_s) {
            waiting.pop_front();
        }
        let mut remaining_capacity = interval.capacity * interval.seconds;
        let mut done = 0.0;
        while let Some((_, requests)) = waiting.front_mut() {
            let served = requests.min(remaining_capacity);
            *requests -= served;
            remaining_capacity -= served;
            done += served;
            if *requests > 0.0 {
                break;
            }
            waiting.pop_front();
        }
        completed.push(done);
        now += interval.seconds;
    }
    completed
}

/// A directed graph of residual capacities, stored as adjacency lists of edges.
struct Graph {
    edges: Vec<Vec<usize>>,
    to: Vec<usize>,
    residual: Vec<f64>,
}

impl Graph {
    fn new(nodes: usize) -> Self {
        Self {
            edges: vec![Vec::new(); nodes],
            to: Vec::new(),
            residual: Vec::new(),
        }
    }

    /// Adds an edge and its reverse edge; their indices differ only in the lowest bit.
    fn connect(&mut self, from: usize, to: usize, capacity: f64) {
        for (from, to, capacity) in [(from, to, capacity), (to, from, 0.0)] {
            self.edges[from].push(self.to.len());
            self.to.push(to);
            self.residual.push(capacity);
        }
    }

    /// Computes the maximum flow with the Edmonds-Karp algorithm.
    fn max_flow(&mut self, source: usize, sink: usize) -> f64 {
        let mut total = 0.0;
        while let Some(path) = self.shortest_path(source, sink) {
            let flow = path
                .iter()
                .map(|e| self.residual[*e])
                .fold(f64::INFINITY, f64::min);
            for edge in path {
                self.residual[edge] -= flow;
                self.residual[edge ^ 1] += flow;
            }
            total += flow;
        }
        total
    }

    fn shortest_path(&self, source: usize, sink: usize) -> Option<Vec<usize>> {
        let mut reached_by: Vec<Option<usize>> = vec![None; self.edges.len()];
        let mut queue = VecDeque::from([source]);
        while let Some(node) = queue.pop_front() {
            for &edge in &self.edges[node] {
                let next = self.to[edge];
                let has_capacity = self.residual[edge] > MIN_FLOW;
                if has_capacity && next != source && reached_by[next].is_none() {
                    reached_by[next] = Some(edge);
                    queue.push_back(next);
                }
            }
        }
        let mut path = Vec::new();
        let mut node = sink;
        while node != source {
            let edge = reached_by[node]?;
            path.push(edge);
            node = self.to[edge ^ 1];
        }
        Some(path)
    }
}
