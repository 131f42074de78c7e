//! Guards against stale rows in the table of backend servers: updating it after
//! each change must give the same table as rebuilding it.

use std::collections::{BTreeMap, BTreeSet};

use bolero_generator::TypeGenerator;
use radishhaven_cases::check;
use radishhaven_core::{
    config::{BATCH_FORMAT, Backend, Batch, Change, Model, Object, ObjectKey, Workload},
    ids::{LayerRange, Revision, VmId},
    platform::{Record, Vm, VmList, VmRole, VmState},
    tables::{BackendTable, VmTable},
};

const SEED: u64 = 11;
const CASES: u32 = 1_000;

#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    Configure {
        #[generator(0..6u8)]
        vm: u8,
        upper: bool,
    },
    Deconfigure {
        #[generator(0..6u8)]
        vm: u8,
    },
    AddToList {
        #[generator(0..6u8)]
        vm: u8,
        leaving: bool,
    },
    RemoveFromList {
        #[generator(0..6u8)]
        vm: u8,
    },
}

fn name(vm: u8) -> VmId {
    format!("engine-{vm}").parse().expect("the name is valid")
}

fn backend(vm: u8, upper: bool) -> Object {
    let (start, end) = if upper { (4, 8) } else { (0, 4) };
    Object::Backend(Backend {
        id: name(vm),
        carries: Workload::Layers {
            model: "m".parse().expect("the name is valid"),
            version: "v1".parse().expect("the name is valid"),
            layers: LayerRange::new(start, end).expect("a range"),
            adapters: BTreeSet::new(),
        },
        checks_tokens: false,
    })
}

#[derive(Default)]
struct Tables {
    config: radishhaven_core::config::Config,
    listed: BTreeMap<VmId, Vm>,
    vms: VmTable,
    incremental: BackendTable,
}

impl Tables {
    fn publish(&mut self, change: Change) {
        let key = change.key();
        let changed = self.config.objects().get(&key).map(|entry| entry.changed);
        let batch = Batch {
            format: BATCH_FORMAT,
            batch: format!("b-{}", self.config.revision())
                .parse()
                .expect("the name is valid"),
            base: changed
                .map(|at| (key, at))
                .into_iter()
                .collect::<BTreeMap<ObjectKey, Revision>>(),
            planned: self.config.revision(),
            source: None,
            changes: vec![change],
        };
        let body = serde_json::to_string(&batch).expect("a batch can be written");
        let record = Record {
            offset: self.config.revision().0,
            body,
        };
        self.config
            .apply_record(&record)
            .expect("the record is the next one");
    }

    fn configure(&mut self, vm: u8, change: Change) {
        self.publish(change);
        let changed = BTreeSet::from([name(vm)]);
        self.incremental.update(&self.config, &self.vms, &changed);
    }

    fn update_vm_list(&mut self) {
        let list = VmList {
            vms: self.listed.values().cloned().collect(),
        };
        let changed = self.vms.replace(list);
        self.incremental.update(&self.config, &self.vms, &changed);
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Configure { vm, upper } => self.configure(vm, Change::Put(backend(vm, upper))),
            Step::Deconfigure { vm } => {
                self.configure(vm, Change::Delete(backend(vm, false).key()))
            }
            Step::AddToList { vm, leaving } => {
                let row = Vm {
                    vm: name(vm),
                    role: VmRole::Backend,
                    address: ([127, 0, 0, 1], 9000 + u16::from(vm)).into(),
                    peer_address: None,
                    failure_domain: "mvd-centro".parse().expect("the name is valid"),
                    state: if leaving {
                        VmState::Leaving
                    } else {
                        VmState::Live
                    },
                };
                self.listed.insert(name(vm), row);
                self.update_vm_list();
            }
            Step::RemoveFromList { vm } => {
                self.listed.remove(&name(vm));
                self.update_vm_list();
            }
        }
    }

    fn rows(table: &BackendTable) -> BTreeMap<VmId, String> {
        let row = |row: &radishhaven_core::tables::BackendRow| {
            let carries = serde_json::to_string(&row.carries).expect("it can be written");
            (
                row.vm.clone(),
                format!("{} {carries} {:?}", row.address, row.state),
            )
        };
        table.iter().map(row).collect()
    }
}

#[test]
fn incremental_updates_equal_a_rebuild() {
    check(SEED, CASES, |steps: Vec<Step>| {
        let mut tables = Tables::default();
        tables.publish(Change::Put(Object::Model(Model {
            id: "m".parse().expect("the name is valid"),
            layers: 8,
        })));
        for step in steps {
            tables.apply(step);
            let mut rebuilt = BackendTable::default();
            rebuilt.rebuild(&tables.config, &tables.vms);
            assert_eq!(Tables::rows(&tables.incremental), Tables::rows(&rebuilt));
        }
    });
}
