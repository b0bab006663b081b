//! The stand-ins of the cases 6 to 10 and the cases themselves: `cases NAME RECORD`, started by `review/N/run.sh`.
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod discovery;
mod http;
mod member;
mod pg;
mod proxy;
mod record;
mod settings;

mod case_booking;
mod case_pieces;
mod case_pipeline;
mod case_removal;
mod case_session;

use record::Record;
use std::path::PathBuf;
use std::time::Duration;

/// The verdict of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// What a case needs to run.
pub struct World {
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// An empty folder for configurations.
    pub folder: PathBuf,
}

pub type Outcome = Result<Verdict, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = &arguments[..] else {
        eprintln!("usage: cases NAME RECORD");
        std::process::exit(2);
    };
    let case = match name.as_str() {
        "booking" => case_booking::run,
        "session" => case_session::run,
        "pieces" => case_pieces::run,
        "pipeline" => case_pipeline::run,
        "removal" => case_removal::run,
        _ => {
            eprintln!("there is no case {name}");
            std::process::exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    let record = match Record::create(&PathBuf::from(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            std::process::exit(2);
        }
    };
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("{}: {error}", temporary.display());
        std::process::exit(2);
    }
    record.line(format!(
        "case {name}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    // A case that does not end by itself could not run.
    let (watchdog_record, watchdog_folder) = (record.clone(), temporary.clone());
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(100));
        watchdog_record.line("the case did not end in time".to_string());
        proxy::kill_all();
        let _ = std::fs::remove_dir_all(watchdog_folder);
        std::process::exit(2);
    });
    let world = World { record: record.clone(), trouble, folder: temporary.clone() };
    let outcome = case(&world);
    proxy::kill_all();
    let _ = std::fs::remove_dir_all(temporary);
    let status = match outcome {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held".to_string());
            0
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken".to_string());
            1
        }
        Err(why) => {
            record.line(format!("the case could not run: {why}"));
            2
        }
    };
    std::process::exit(status);
}
