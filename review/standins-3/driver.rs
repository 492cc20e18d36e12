//! Plays one case of the review: `driver CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod crashes;
mod lasting;
mod late_write;
mod memory;
mod pace;
mod reclaim;
mod site;
mod upkeep;

use std::path::PathBuf;
use std::process::ExitCode;

use site::{Failure, Record};

/// What came of a case: whether the rule held, and why.
pub type Verdict = Result<(bool, String), Failure>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("driver CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = play(&case, PathBuf::from(&path), trouble);
    let (code, line) = match verdict {
        Ok((true, why)) => (0, format!("the rule held: {why}")),
        Ok((false, why)) => (1, format!("the rule is broken: {why}")),
        Err(why) => (2, format!("the case could not run: {why}")),
    };
    println!("{line}");
    if let Ok(mut file) = std::fs::File::options().append(true).open(&path) {
        use std::io::Write;
        let _ = writeln!(file, "{line}");
    }
    ExitCode::from(code)
}

fn play(case: &str, path: PathBuf, trouble: bool) -> Verdict {
    // The program stands under target/ of the repository.
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let root = program
        .ancestors()
        .nth(4)
        .ok_or("no repository")?
        .to_path_buf();
    let record = Record::create(&path).map_err(|e| e.to_string())?;
    record.add(&format!("case {case}, disruption: {trouble}"));
    match case {
        "crashes" => crashes::play(record, &root, trouble),
        "reclaim-urgent" => reclaim::play(record, &root, reclaim::Holder::Urgent, trouble),
        "reclaim-lasting" => reclaim::play(record, &root, reclaim::Holder::MayMiss, trouble),
        "late-write" => late_write::play(record, &root, trouble),
        "memory" => memory::play(record, &root, trouble),
        "pace" => pace::play(record, &root, trouble),
        "lasting" => lasting::play(record, &root, trouble),
        "upkeep" => upkeep::play(record, &root, trouble),
        other => Err(format!("no case {other}")),
    }
}
