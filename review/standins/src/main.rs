//! The cases of the review that run as scripts: the hosts as processes, everything else as small
//! stand-ins in this process. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run.

mod caller;
mod cloud;
mod holder_after_drill;
mod host;
mod http;
mod installation;
mod key_after_drill;
mod record;
mod removed_after_drill;
mod server;
mod store;

use std::{path::PathBuf, process::ExitCode, time::Duration};

/// What a case found.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder), Some(output)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-standins CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let record = record::Record::new();
    let folder = PathBuf::from(folder);
    let verdict = match case.as_str() {
        "holder-after-drill" => holder_after_drill::run(&folder, trouble, &record),
        "key-after-drill" => key_after_drill::run(&folder, trouble, &record),
        "removed-after-drill" => removed_after_drill::run(&folder, trouble, &record),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::Held => ("the rule held", 0),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.say(text);
    if let Err(error) = record.write(&PathBuf::from(output)) {
        eprintln!("cannot write the record: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
