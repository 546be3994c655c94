//! The stand-ins of the scripts: `review-2 CASE FOLDER` plays one case and writes FOLDER/record.txt.
//!
//! It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod batches;
mod caller;
mod foreign_entries;
mod http;
mod json;
mod load;
mod quota;
mod record;
mod replica;
mod restarted_replica;
mod shared_addresses;
mod site;
mod store;

use std::{env, fs, path::PathBuf, process};

use record::Record;

/// How a case has ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() {
    let mut words = env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else { process::exit(2) };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    record.add(format!("case {case}, trouble {trouble}"));
    let temporary = env::temp_dir().join(format!("ryetide-review-2-{}", process::id()));
    fs::create_dir_all(&temporary).expect("create temporary folder");
    let verdict = match case.as_str() {
        "batches" => batches::play(&record, &temporary, trouble),
        "foreign-entries" => foreign_entries::play(&record, &temporary, trouble),
        "restarted-replica" => restarted_replica::play(&record, &temporary, trouble),
        "shared-addresses" => shared_addresses::play(&record, &temporary, trouble),
        _ => Verdict::NotRun,
    };
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&temporary);
    }
    let (code, word) = match verdict {
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::Held => (0, "the rule held"),
        Verdict::NotRun => (2, "the case could not run"),
    };
    record.add(word);
    println!("{case}: {word}");
    process::exit(code);
}
