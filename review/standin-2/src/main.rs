//! Runs one case of the review: `review-standin-2 CASE FOLDER RECORD`, in the root of the repository.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod deployment;
mod gone_server;
mod record;
mod revoked_key;
mod site;
mod split_route;
mod tenant_name;

use {
    record::Record,
    std::{path::Path, process::ExitCode, sync::Arc},
};

/// Outcome of a case.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, path] = &arguments[..] else {
        eprintln!("expected a case, a temporary folder and the path of the record");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(Path::new(path)));
    let folder = Path::new(folder);
    let verdict = match case.as_str() {
        "gone-server" => gone_server::run(folder, &record, has_trouble),
        "revoked-key" => revoked_key::run(folder, &record, has_trouble),
        "split-route" => split_route::run(folder, &record, has_trouble),
        "tenant-name" => tenant_name::run(folder, &record, has_trouble),
        _ => Verdict::NotRun,
    };
    let (code, text) = match verdict {
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::Held => (0, "the rule held"),
        Verdict::NotRun => (2, "the case could not run"),
    };
    record.note(text);
    println!("{text}");
    ExitCode::from(code)
}
