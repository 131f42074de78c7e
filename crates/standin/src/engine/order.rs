//! Applies orders, which assign layers to the engine, and loads their weights.

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

/// Delay before a failed read from the weight store is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Engine {
    /// Applies an order, unless its token is stale, and starts to load weights.
    pub(super) fn order(self: &Arc<Self>, order: Order) -> OrderReply {
        let mut state = self.lock();
        let reply = self.check_token(&state, &order);
        state.record(EngineRecord::Ordered(OrderRecord {
            order: order.clone(),
            reply: reply.clone(),
            at_us: wall_clock_us(),
        }));
        if reply == OrderReply::Accepted {
            self.apply(&mut state, order);
        }
        reply
    }

    fn check_token(&self, state: &State, order: &Order) -> OrderReply {
        let newest = state.newest_token;
        if self.cfg.checks_tokens && order.token < newest {
            return OrderReply::StaleToken { newest };
        }
        OrderReply::Accepted
    }

    fn apply(self: &Arc<Self>, state: &mut State, order: Order) {
        state.newest_token = state.newest_token.max(order.token);
        let holding = &mut state.holding;
        holding.token = order.token;
        holding.adapters = order.adapters;
        let same_version = holding.model == order.model && holding.version == order.version;
        if same_version && holding.layers == order.layers {
            return;
        }
        holding.model = order.model;
        holding.version = order.version;
        holding.layers = order.layers;
        holding.loading = true;
        state.generation += 1;
        end_all_sessions(state);
        let holding = state.holding.clone();
        tokio::spawn(self.clone().load_weights(state.generation, holding));
    }

    async fn load_weights(self: Arc<Self>, generation: u64, holding: Holding) {
        match self.cfg.weight_store {
            Some(store) => self.fetch_weights(store, generation, &holding).await,
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

    async fn fetch_weights(&self, store: SocketAddr, generation: u64, holding: &Holding) {
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

fn end_all_sessions(state: &mut State) {
    let sessions: Vec<SessionRef> = state.sessions.keys().cloned().collect();
    for session in sessions {
        state.end_session(&session, &EngineRefusal::NotHeld);
    }
    state.cache.clear();
}
