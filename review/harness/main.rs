//! Cases of the review that are scripts: starts nodes as the deploy file says, with
//! stand-ins for the store, the workers and the clients, and judges what clients and
//! workers saw.
//!
//! Usage: `harness CASE FOLDER`, from the repository's root. With `TROUBLE=0` the case
//! runs without its disruption. The exit code is 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run.

mod crash;
mod drill;
mod http;
mod node;
mod old_peer;
mod proxy;
mod record;
mod server;
mod stop;
mod store;
mod uploads;

use std::{
    env, fs,
    path::{Path, PathBuf},
    process, thread,
    time::Duration,
};

use record::Recorder;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// What a case works with.
pub struct Case {
    pub recorder: Recorder,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let (Some(name), Some(out)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: harness CASE FOLDER");
        process::exit(2);
    };
    let recorder = Recorder::new(&Path::new(out).join("record.txt"));
    let folder = env::temp_dir().join(format!("radishhaven-review-{}", process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let case = Case {
        recorder: recorder.clone(),
        folder: folder.clone(),
        trouble,
    };
    let late = recorder.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        late.say("given up: the case took too long");
        node::end_all();
        process::exit(2);
    });
    recorder.say(&format!("case {name}, with trouble: {trouble}"));
    let verdict = match name.as_str() {
        "stop" => stop::run(&case),
        "crash" => crash::run(&case),
        "old-peer" => old_peer::run(&case),
        "drill" => drill::run(&case),
        "uploads" => uploads::run(&case),
        _ => Verdict::CouldNotRun("there is no such case".to_owned()),
    };
    node::end_all();
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&folder);
    }
    let code = match verdict {
        Verdict::Held => {
            recorder.say("the rule held");
            0
        }
        Verdict::Broken => {
            recorder.say("the rule was broken");
            1
        }
        Verdict::CouldNotRun(why) => {
            recorder.say(&format!("the case could not run: {why}"));
            2
        }
    };
    process::exit(code);
}
