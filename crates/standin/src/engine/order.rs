//! Orders: what an engine is to hold, and loading the weights for it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::StatusCode;
use radishhaven_proto::{
    engine::{EngineRefusal, Holding, Order, OrderReply, SessionRef},
    platform::WEIGHTS_PATH,
};
use volo_http::{
    body::{Body, BodyConversion},
    client::Client,
    error::BoxError,
};

use super::{
    Engine,
    record::{EngineRecord, OrderRecord},
    state::State,
};
use crate::wire::wall_clock_us;

/// Time after which a failed read from the weight store is tried again.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Engine {
    /// Takes an order and begins to load what it asks for.
    pub(super) fn order(self: &Arc<Self>, order: Order) -> OrderReply {
        let mut state = self.lock();
        let reply = self.decide(&state, &order);
        state.record(EngineRecord::Ordered(OrderRecord {
            order: order.clone(),
            reply: reply.clone(),
            at_us: wall_clock_us(),
        }));
        if reply == OrderReply::Accepted {
            self.accept(&mut state, order);
        }
        reply
    }

    fn decide(&self, state: &State, order: &Order) -> OrderReply {
        let newest = state.newest_token;
        if self.cfg.checks_tokens && order.token < newest {
            return OrderReply::StaleToken { newest };
        }
        OrderReply::Accepted
    }

    fn accept(self: &Arc<Self>, state: &mut State, order: Order) {
        state.newest_token = state.newest_token.max(order.token);
        let held = &mut state.holding;
        held.token = order.token;
        held.adapters = order.adapters;
        let same_version = held.model == order.model && held.version == order.version;
        if same_version && held.layers == order.layers {
            return;
        }
        held.model = order.model;
        held.version = order.version;
        held.layers = order.layers;
        held.loading = true;
        state.generation += 1;
        drop_sessions(state);
        let holding = state.holding.clone();
        tokio::spawn(self.clone().load(state.generation, holding));
    }

    async fn load(self: Arc<Self>, generation: u64, holding: Holding) {
        match self.cfg.weight_store {
            Some(store) => self.fetch(store, generation, &holding).await,
            None => tokio::time::sleep(self.load_time(&holding)).await,
        }
        let mut state = self.lock();
        if state.generation == generation {
            state.holding.loading = false;
        }
    }

    fn load_time(&self, holding: &Holding) -> Duration {
        let bytes = u64::from(holding.layers.count()).saturating_mul(self.cfg.layer_bytes);
        let rate = self.cfg.load_bytes_per_s.max(1);
        Duration::from_secs_f64(bytes as f64 / rate as f64)
    }

    async fn fetch(&self, store: SocketAddr, generation: u64, holding: &Holding) {
        let Holding {
            model,
            version,
            layers,
            ..
        } = holding;
        let url = format!("http://{store}{WEIGHTS_PATH}{model}/{version}?layers={layers}");
        let client = Client::default();
        while self.lock().generation == generation {
            if matches!(read_weights(&client, &url).await, Ok(StatusCode::OK)) {
                return;
            }
            tokio::time::sleep(LOAD_RETRY_DELAY).await;
        }
    }
}

async fn read_weights(client: &Client, url: &str) -> Result<StatusCode, BoxError> {
    let response = client.get(url).send::<Body>().await?;
    let status = response.status();
    response.into_body().into_vec().await?;
    Ok(status)
}

fn drop_sessions(state: &mut State) {
    let sessions: Vec<SessionRef> = state.sessions.keys().cloned().collect();
    for session in sessions {
        state.end_session(&session, &EngineRefusal::NotHeld);
    }
    state.cache.clear();
}
