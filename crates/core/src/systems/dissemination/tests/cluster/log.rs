//! The log of the simulated cluster, and its faults.

use super::*;

impl Cluster {
    /// Builds a batch against the configuration of a node, as an operator would.
    pub fn build_batch(&mut self, by: u8, object: u8) -> String {
        let by = by as usize % NODES;
        self.batches += 1;
        let name = |text: String| text.parse().expect("a name");
        let model = || Model {
            id: format!("m{}", object % 3).parse().expect("a name"),
            layers: 8 + u16::from(object % 5),
        };
        let key = |text: String| text.parse::<ObjectKey>().expect("a key");
        let backend = Backend {
            id: name(format!("b{}", object % 4)),
            carries: Workload::Layers {
                model: format!("m{}", object / 16 % 3).parse().expect("a name"),
                version: "v1".parse().expect("a name"),
                layers: LayerRange::new(0, 8 + u16::from(object % 3)).expect("a range"),
                adapters: Default::default(),
            },
            checks_tokens: false,
        };
        let changes = match object / 4 % 5 {
            0 => vec![Change::Delete(key(format!("model/m{}", object % 3)))],
            1 => vec![Change::Delete(key(format!("backend/b{}", object % 4)))],
            2 => vec![Change::Put(Object::Backend(backend))],
            3 => vec![
                Change::Put(Object::Model(model())),
                Change::Put(Object::Backend(backend)),
            ],
            _ => vec![Change::Put(Object::Model(model()))],
        };
        let config = &self.nodes[by].tables().config;
        let base = |change: &Change| {
            let entry = config.objects().get(&change.key());
            entry.map(|entry| (change.key(), entry.changed))
        };
        let batch = Batch {
            format: BATCH_FORMAT,
            batch: format!("batch-{}", self.batches).parse().expect("an id"),
            base: changes.iter().filter_map(base).collect::<BTreeMap<_, _>>(),
            planned: config.revision(),
            source: None,
            changes,
        };
        serde_json::to_string(&batch).expect("a batch can be written")
    }

    pub fn append_batch(&mut self, by: u8, object: u8, twice: bool) {
        let body = self.build_batch(by, object);
        if twice {
            self.append(body.clone());
        }
        self.append(body);
    }

    /// Appends a copy of a record that is already in the log.
    pub fn repeat_record(&mut self, which: u8) {
        if !self.records.is_empty() {
            let body = self.records[which as usize % self.records.len()].clone();
            self.append(body);
        }
    }

    pub fn append(&mut self, body: String) {
        if self.fault != Fault::None {
            return;
        }
        let offset = self.records.len() as u64;
        let record = self.record(offset, &body);
        self.reference
            .apply_record(&record)
            .expect("the next record");
        self.oracle.apply(&body);
        self.expected
            .push((self.reference.digest(), self.oracle.objects.clone()));
        self.records.push(body);
    }

    /// Appends a snapshot that lacks an object but has the digest of the complete
    /// configuration.
    pub fn append_wrong_snapshot(&mut self) {
        let mut parts = self.reference.snapshot();
        if parts[0].entries.pop().is_some() {
            self.append(parts[0].to_body());
        }
    }

    fn log_response(&self, from: u64) -> Event {
        let mut end = self.records.len();
        if self.fault == Fault::Shorter {
            end = self.fault_offset.max(self.first_retained as usize);
        }
        let begin = from.max(self.first_retained) as usize;
        let body = |n: usize| match self.fault == Fault::OtherHistory && n >= self.fault_offset {
            true => format!("another record {n}"),
            false => self.records[n].clone(),
        };
        let records = (begin..end).map(|n| self.record(n as u64, &body(n)));
        Event::ConfigRecords {
            first: self.first_retained,
            end: end as u64,
            records: records.take(16).collect(),
        }
    }

    pub fn read_log(&mut self, n: usize) {
        let from = self.nodes[n].next_log_read(self.now).from;
        let event = match self.fault {
            Fault::Unavailable => Event::ConfigReadFailed,
            _ => self.log_response(from),
        };
        self.handle(n, event);
    }

    pub fn set_fault(&mut self, fault: u8, offset: u8) {
        let fault = FAULTS[fault as usize % FAULTS.len()];
        let revisions = self.nodes.iter().map(|n| n.tables().config.revision().0);
        let lowest = revisions.min().unwrap_or_default() as usize;
        if fault == Fault::OtherHistory {
            // Nodes can detect a different history only by records that they have
            // applied.
            if lowest <= self.first_retained as usize {
                return;
            }
            self.fault_offset = lowest - 1;
        } else {
            self.fault_offset = offset as usize % (self.records.len() + 1);
        }
        self.fault = fault;
        // Long polls fail when another log server takes over.
        for n in 0..NODES {
            self.handle(n, Event::ConfigReadFailed);
        }
    }

    /// Expires records, but only those that a complete snapshot covers.
    pub fn expire_records(&mut self, keep: u8) {
        let parts = self.records.iter().skip(self.first_retained as usize);
        let covered = parts.filter_map(|body| match LogRecord::parse(body) {
            Ok(LogRecord::Snapshot(part)) => {
                let config = SnapshotAssembler::default().add(part).ok().flatten();
                config.map(|config| config.revision().0)
            }
            _ => None,
        });
        let covered = covered.max().unwrap_or_default();
        let oldest_to_keep = self.records.len().saturating_sub(keep as usize) as u64;
        self.first_retained = self.first_retained.max(covered.min(oldest_to_keep));
    }
}
