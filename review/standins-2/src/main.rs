//! Runs one script of the review: `review-2 NAME FOLDER`. Exits with 1 if the rule was broken, with 0 if it held, and
//! with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod http;
mod record;
mod site;
mod store;
mod worker;

use std::path::Path;

use record::Record;

/// Gives up: the case could not run. Unwinds, so that all processes are ended.
fn cannot_run(why: &str) -> ! {
    std::panic::resume_unwind(Box::new(why.to_string()))
}

fn main() {
    match std::panic::catch_unwind(run) {
        Ok(broken) => {
            for line in broken.iter().take(10) {
                println!("broken: {line}");
            }
            println!("{} breaches", broken.len());
            std::process::exit(i32::from(!broken.is_empty()));
        }
        Err(why) => {
            let why = why.downcast_ref::<String>();
            eprintln!("cannot run: {}", why.map_or("a panic", String::as_str));
            std::process::exit(2);
        }
    }
}

/// Runs the script; returns how the rule was broken.
fn run() -> Vec<String> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = &arguments[..] else {
        cannot_run("usage: review-2 NAME FOLDER");
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(&Path::new(folder).join("record.txt"));
    match name.as_str() {
        "many-ends" => cases::many_ends(record, trouble),
        "lasting-crashes" => cases::lasting_crashes(record, trouble),
        "gang-failures" => cases::gang_failures(record, trouble),
        "waiting-count" => cases::waiting_count(record, trouble),
        "lasting-gone" => cases::lasting_gone(record, trouble),
        "large-jobs" => cases::large_jobs(record, trouble),
        "advice" => cases::advice(record, trouble),
        "late-accept" => cases::late_accept(record, trouble),
        _ => cannot_run("no such case"),
    }
}
