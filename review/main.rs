//! Plays a case of the review: `review-standins CASE RECORD`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run.

mod doubled_answer;
mod foreign_entry;
mod late_stop;
mod mixed_versions;
mod support;

use std::path::PathBuf;

use support::{finish, note, watch};

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(file)) = (args.next(), args.next()) else {
        eprintln!("usage: review-standins CASE RECORD");
        std::process::exit(2);
    };
    let file = PathBuf::from(file);
    watch(file.clone());
    let result = match case.as_str() {
        "doubled-answer" => doubled_answer::play(),
        "foreign-entry" => foreign_entry::play(),
        "late-stop" => late_stop::play(),
        "mixed-versions" => mixed_versions::play(),
        _ => Err(format!("no case {case}")),
    };
    let status = match result {
        Ok(0) => {
            note("verdict   the rule held");
            0
        }
        Ok(count) => {
            note(&format!("verdict   the rule was broken, {count} times"));
            1
        }
        Err(cause) => {
            note(&format!("verdict   the case could not run: {cause}"));
            eprintln!("{cause}");
            2
        }
    };
    finish(&file, status)
}
