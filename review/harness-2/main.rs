//! Plays a case of the second review: `review-2 CASE FOLDER FILES`, at the
//! repository's root. The record goes to FOLDER, settings and logs to FILES.
//! `TROUBLE=0` leaves the disruption out. See `review/REPORT-2.md`.

mod blank_lines;
mod deployment;
mod http;
mod missing_id;
mod outcome;
mod small_chunks;
mod stale_orders;
mod store;
mod workers;

use std::{env, path::Path, process, thread, time::Duration};

use outcome::Outcome;

/// Time after which a case that has not ended is given up.
const MAX_TIME: Duration = Duration::from_secs(112);

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let [case, folder, files] = args.as_slice() else {
        process::exit(Outcome::CannotRun.status());
    };
    let (folder, files) = (Path::new(folder), Path::new(files));
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        deployment::end_all();
        process::exit(Outcome::CannotRun.status());
    });
    let outcome = match case.as_str() {
        "blank-lines" => blank_lines::run(folder, files, trouble),
        "missing-id" => missing_id::run(folder, files, trouble),
        "small-chunks" => small_chunks::run(folder, files, trouble),
        "stale-orders" => stale_orders::run(folder, files, trouble),
        _ => Outcome::CannotRun,
    };
    println!("{outcome:?}");
    process::exit(outcome.status());
}
