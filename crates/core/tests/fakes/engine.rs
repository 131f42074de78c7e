//! A fake engine with sessions and refusals. Its small model gives a wrong answer
//! if any layer is left out or gets a wrong input.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use radishhaven_core::{
    engine::{EngineRefusal, KvCache, SessionRef, StageInput, StageOutput, StepReply},
    ids::{LayerRange, Position, VmId},
    message::StepSpec,
};

/// Number of layers of the fake model.
pub const LAYERS: u16 = 6;
/// On average, one in this many tokens is the end token.
const END_TOKEN_ODDS: u64 = 24;

fn mix(a: u64, b: u64) -> u64 {
    let z = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_add(0x7f4a_7c15);
    let z = (z ^ (z >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z ^ (z >> 32)
}

fn embed(token: u32, position: u32) -> u64 {
    mix(u64::from(token), u64::from(position))
}

fn sample(value: u64) -> u32 {
    match value % END_TOKEN_ODDS {
        0 => 0,
        _ => u32::from(b'a') + ((value >> 8) % 26) as u32,
    }
}

fn run_layer(layer: u16, kv: &mut u64, input: u64) -> u64 {
    let out = mix(input ^ *kv, u64::from(layer));
    *kv = mix(*kv ^ out, u64::from(layer) + 100);
    out
}

/// The expected run of one request, with the input of each layer at each position.
#[derive(Debug)]
pub struct Reference {
    pub prompt: Vec<u32>,
    pub answer: Vec<u32>,
    values: Vec<Vec<u64>>,
}

impl Reference {
    pub fn new(prompt: &[u32], max_tokens: u32) -> Self {
        let mut kv = [0; LAYERS as usize];
        let mut values: Vec<Vec<u64>> = Vec::new();
        let mut run = |token: u32| {
            let mut entering = vec![embed(token, values.len() as u32)];
            for (layer, kv) in (0..).zip(&mut kv) {
                let input = *entering.last().expect("the embedding is the first value");
                entering.push(run_layer(layer, kv, input));
            }
            let last = *entering.last().expect("the embedding is the first value");
            values.push(entering);
            sample(last)
        };
        let mut token = 0;
        for t in prompt {
            token = run(*t);
        }
        let mut answer = Vec::new();
        while token != 0 && answer.len() < max_tokens as usize {
            answer.push(token);
            token = run(token);
        }
        Self {
            prompt: prompt.to_vec(),
            answer,
            values,
        }
    }

    pub fn text(&self) -> String {
        let letters = self.answer.iter().filter_map(|t| char::from_u32(*t));
        letters.collect()
    }

    /// Returns whether the input of a run is the expected one for its layers and
    /// positions.
    pub fn accepts_input(&self, run: &Run) -> bool {
        let all = || self.prompt.iter().chain(&self.answer);
        match &run.input {
            StageInput::Tokens(inputs) => all()
                .skip(run.first.0 as usize)
                .take(inputs.len())
                .eq(inputs),
            StageInput::Activations(inputs) => inputs.iter().enumerate().all(|(i, value)| {
                let entering = self.values.get(run.first.0 as usize + i);
                let expected = entering.and_then(|v| v.get(usize::from(run.layers.start())));
                expected == Some(value)
            }),
        }
    }
}

/// A run, as the engine recorded it.
#[derive(Debug, Clone)]
pub struct Run {
    pub session: SessionRef,
    pub layers: LayerRange,
    pub first: Position,
    pub input: StageInput,
}

#[derive(Debug)]
struct Session {
    layers: LayerRange,
    next: u32,
    kv: Vec<u64>,
    last_step: Option<(StepSpec, StepReply)>,
}

/// A fake engine.
#[derive(Debug)]
pub struct Engine {
    pub vm: VmId,
    pub address: SocketAddr,
    pub layers: LayerRange,
    pub alive: bool,
    /// Whether the engine ever crashed, and thereby lost the record of the
    /// sessions that had ended.
    pub crashed: bool,
    pub stalled: bool,
    pub leaving: bool,
    pub busy: bool,
    /// The runs of the engine, including those before a crash.
    pub runs: Vec<Run>,
    sessions: BTreeMap<SessionRef, Session>,
    ended: BTreeSet<SessionRef>,
}

impl Engine {
    pub fn new(vm: VmId, address: SocketAddr, layers: LayerRange) -> Self {
        Self {
            vm,
            address,
            layers,
            alive: true,
            crashed: false,
            stalled: false,
            leaving: false,
            busy: false,
            runs: Vec::new(),
            sessions: BTreeMap::new(),
            ended: BTreeSet::new(),
        }
    }

    /// Stops the engine and drops all sessions, since they are not persistent.
    pub fn crash(&mut self) {
        self.alive = false;
        self.crashed = true;
        self.sessions.clear();
        self.ended.clear();
    }

    pub fn open_sessions(&self) -> usize {
        self.sessions.len()
    }

    pub fn end(&mut self, session: &SessionRef) {
        self.sessions.remove(session);
        self.ended.insert(session.clone());
    }

    pub fn step(&mut self, spec: &StepSpec) -> Result<StepReply, EngineRefusal> {
        if self.ended.contains(&spec.session) {
            return Err(EngineRefusal::NoSession);
        }
        let repeated = |s: &Session| {
            let (found, reply) = s.last_step.as_ref()?;
            let same = found.first == spec.first && found.input == spec.input;
            (same && found.layers == spec.layers).then(|| reply.clone())
        };
        if let Some(reply) = self.sessions.get(&spec.session).and_then(repeated) {
            return Ok(reply);
        }
        if !self.holds_layers(spec.layers) {
            return Err(EngineRefusal::NotHeld);
        }
        if let Some(session) = self.sessions.get(&spec.session)
            && session.next != spec.first.0
        {
            let next = Position(session.next);
            return Err(EngineRefusal::WrongPosition { next });
        }
        if self.busy {
            return Err(EngineRefusal::Busy);
        }
        if !self.sessions.contains_key(&spec.session) {
            self.check_opens_session(spec.first)?;
        }
        Ok(self.run(spec))
    }

    fn holds_layers(&self, layers: LayerRange) -> bool {
        self.layers.start() <= layers.start() && layers.end() <= self.layers.end()
    }

    fn check_opens_session(&self, first: Position) -> Result<(), EngineRefusal> {
        match (first, self.leaving) {
            (Position(0), false) => Ok(()),
            (Position(0), true) => Err(EngineRefusal::Leaving),
            _ => Err(EngineRefusal::NoSession),
        }
    }

    fn run(&mut self, spec: &StepSpec) -> StepReply {
        self.runs.push(Run {
            session: spec.session.clone(),
            layers: spec.layers,
            first: spec.first,
            input: spec.input.clone(),
        });
        let new_session = Session {
            layers: spec.layers,
            next: 0,
            kv: vec![0; usize::from(spec.layers.count())],
            last_step: None,
        };
        let session = self
            .sessions
            .entry(spec.session.clone())
            .or_insert(new_session);
        let entering: Vec<u64> = match &spec.input {
            StageInput::Tokens(tokens) => (spec.first.0..)
                .zip(tokens)
                .map(|(position, token)| embed(*token, position))
                .collect(),
            StageInput::Activations(values) => values.clone(),
        };
        session.next += entering.len() as u32;
        let mut values = entering;
        for value in &mut values {
            for (layer, kv) in (spec.layers.start()..).zip(&mut session.kv) {
                *value = run_layer(layer, kv, *value);
            }
        }
        let last = *values.last().expect("a step has at least one position");
        let reply = StepReply {
            run: "run".to_owned(),
            session: spec.session.clone(),
            first: spec.first,
            output: match spec.layers.end() {
                LAYERS => StageOutput::Token(sample(last)),
                _ => StageOutput::Activations(values),
            },
        };
        session.last_step = Some((spec.clone(), reply.clone()));
        reply
    }

    pub fn export(&self, session: &SessionRef, base: &KvCache) -> Result<KvCache, EngineRefusal> {
        let found = self.sessions.get(session).ok_or(EngineRefusal::NoSession)?;
        Ok(KvCache {
            layers: found.layers,
            next: Position(found.next),
            state: found.kv.clone(),
            ..base.clone()
        })
    }

    pub fn import(&mut self, session: &SessionRef, cache: &KvCache) -> Result<(), EngineRefusal> {
        if self.ended.contains(session) {
            return Err(EngineRefusal::NoSession);
        }
        if !self.holds_layers(cache.layers) {
            return Err(EngineRefusal::NotHeld);
        }
        if self.busy {
            return Err(EngineRefusal::Busy);
        }
        if self.leaving {
            return Err(EngineRefusal::Leaving);
        }
        let new_session = Session {
            layers: cache.layers,
            next: cache.next.0,
            kv: cache.state.clone(),
            last_step: None,
        };
        self.sessions.insert(session.clone(), new_session);
        Ok(())
    }
}
