//! Chooses the backend servers of a request.
//!
//! For a pipeline, a chain of stages must cover the model's layers without a
//! gap; the choice is a shortest path over layer boundaries. The design note
//! is `docs/design/routing.md`.

use std::collections::BTreeMap;

use super::Context;
use crate::{
    config::Carries,
    ids::{LayerRange, ModelId, ServiceId, VersionId, VmId},
    tables::{BackendRow, Stage},
};

/// Cost of one stage more, against cost of one request in flight.
const STAGE_COST: u64 = 4;

/// Chooses a chain over all layers of a version, avoiding `failed` ones.
pub fn chain(
    cx: &Context<'_>,
    model: &ModelId,
    version: &VersionId,
    failed: &[VmId],
) -> Option<Vec<Stage>> {
    let layers = cx.tables.config.model(model)?.layers;
    let all = LayerRange::new(0, layers).ok()?;
    cover(cx, model, version, all, failed)
}

/// Chooses a chain over some layers of a version, avoiding `failed` ones.
pub fn cover(
    cx: &Context<'_>,
    model: &ModelId,
    version: &VersionId,
    layers: LayerRange,
    failed: &[VmId],
) -> Option<Vec<Stage>> {
    let usable = |row: &&BackendRow| row.takes_work(cx.now) && !failed.contains(&row.vm);
    let begin = (layers.start(), (0, Vec::new()));
    let mut best: BTreeMap<u16, (u64, Vec<Stage>)> = BTreeMap::from([begin]);
    while let Some((at, (cost, path))) = best.pop_first() {
        if at == layers.end() {
            return Some(path);
        }
        for row in cx.tables.backends.of_version(model, version).filter(usable) {
            let Carries::Layers { layers: held, .. } = &row.carries else {
                continue;
            };
            if held.start() > at || held.end() <= at {
                continue;
            }
            let end = held.end().min(layers.end());
            let cost = cost + STAGE_COST + u64::from(row.in_flight);
            let known = best.get(&end).map(|(cost, _)| *cost);
            if known.is_none_or(|known| cost < known) {
                let mut path = path.clone();
                path.push(Stage {
                    vm: row.vm.clone(),
                    address: row.address,
                    layers: LayerRange::new(at, end).ok()?,
                });
                best.insert(end, (cost, path));
            }
        }
    }
    None
}

/// Chooses a backend server of a plain service, avoiding `failed` ones.
pub fn service<'a>(
    cx: &'a Context<'_>,
    service: &ServiceId,
    failed: &[VmId],
) -> Option<&'a BackendRow> {
    let usable = |row: &&BackendRow| row.takes_work(cx.now) && !failed.contains(&row.vm);
    let rows = cx.tables.backends.of_service(service).filter(usable);
    rows.min_by_key(|row| row.in_flight)
}
