//! The most that engines could complete: a maximum flow over layer boundaries.
//!
//! It is worked out from the engines' step costs alone and shares nothing with
//! the routing of the nodes, so that goodput can be judged against it.

use std::collections::VecDeque;

use radishhaven_core::ids::LayerRange;

use crate::engine::{PREFIX_POSITIONS, StepCost};

/// Flow below which a path counts as exhausted, in requests a second.
const MIN_FLOW: f64 = 1e-6;

/// The mean request of a load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeanRequest {
    /// Positions of the prompt.
    pub prompt: f64,
    /// Tokens that are generated.
    pub tokens: f64,
}

/// What one engine can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCapacity {
    /// The layers that it holds.
    pub layers: LayerRange,
    /// What its steps cost.
    pub cost: StepCost,
    /// Steps in a batch at most.
    pub max_batch: usize,
}

impl EngineCapacity {
    /// Returns the requests a second that it completes when all batches are
    /// full and every prefix is cached.
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

/// Returns the requests a second that the engines complete together.
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

/// A load that is offered for a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadInterval {
    /// Requests that arrive in the interval.
    pub requests: f64,
    /// The interval's length in seconds.
    pub seconds: f64,
    /// Requests a second that could be completed in the interval.
    pub capacity: f64,
}

/// Returns the requests of each interval that could be completed, when work
/// that waits longer than `useful` seconds is worth nothing.
pub fn max_completed(intervals: &[LoadInterval], useful: f64) -> Vec<f64> {
    let mut waiting: VecDeque<(f64, f64)> = VecDeque::new();
    let mut now = 0.0;
    let mut completed = Vec::new();
    for interval in intervals {
        waiting.push_back((now, interval.requests));
        while waiting.front().is_some_and(|(at, _)| now - at > useful) {
            waiting.pop_front();
        }
        let mut room = interval.capacity * interval.seconds;
        let mut done = 0.0;
        while let Some((_, requests)) = waiting.front_mut() {
            let served = requests.min(room);
            *requests -= served;
            room -= served;
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

/// A directed graph with capacities, as residuals in a matrix of edges.
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

    /// Adds an edge and its reverse, whose numbers differ in the lowest bit.
    fn connect(&mut self, from: usize, to: usize, capacity: f64) {
        for (from, to, capacity) in [(from, to, capacity), (to, from, 0.0)] {
            self.edges[from].push(self.to.len());
            self.to.push(to);
            self.residual.push(capacity);
        }
    }

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
                let open = self.residual[edge] > MIN_FLOW;
                if open && next != source && reached_by[next].is_none() {
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
