//! Runs the scripts: files and their findings, differences, changes with store faults, replicas.

mod support;

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;

use declarations::{
    AcceptedRevision, CallFailure, ChangeRequest, DeclarationSet, Editor, EditorStep, GuaranteeUse,
    Located, Offer, OfferOutcome, Replica, SourceFile, SwapResult, edits_between, parse_files,
    plan, plan_revert,
};
use goldenscript::{Command, Context, Runner};
use model::prelude::*;
use support::{MemoryStore, load, run_change};

type Output = Result<String, Box<dyn Error>>;

/// State of a script run: declaration files, a store, editors and replicas.
#[derive(Default)]
struct ScriptRunner {
    files: Vec<SourceFile>,
    store: MemoryStore,
    known: AcceptedRevision,
    editors: BTreeMap<String, Editor>,
    replicas: BTreeMap<String, Replica>,
    now_ms: u64,
}

impl Runner for ScriptRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        let mut args = command.consume_args();
        let mut next = || {
            args.next_pos()
                .map(str::to_owned)
                .ok_or("an argument is missing")
        };
        match command.name.as_str() {
            "file" => {
                let name = next()?;
                self.files.retain(|file| file.name != name);
                let text = next()?.replace('\'', "\"");
                self.files.push(SourceFile { name, text });
                Ok(String::new())
            }
            "forget" => {
                self.files.clear();
                Ok(String::new())
            }
            "check" => Ok(match parse_files(&self.files) {
                Ok(located) => describe_places(&located),
                Err(findings) => format!("{findings}\n"),
            }),
            "diff" => {
                let uses = args.take_key("in-use").map(parse_use).transpose()?;
                self.diff(uses.as_slice())
            }
            "apply" => {
                let request = self.request(&next()?, args.take_key("base"))?;
                let known = self.known.clone();
                let (step, known) = run_change(&mut self.store, known, request);
                self.known = load(&mut self.store, known);
                Ok(describe(&step))
            }
            "begin" => {
                let request = self.request(&next()?, args.take_key("base"))?;
                let editor = Editor::new(request, self.known.clone());
                let id = args.take_key("as").unwrap_or("editor").to_owned();
                self.editors.insert(id, editor);
                Ok(String::new())
            }
            "sync" => {
                self.known = load(&mut self.store, self.known.clone());
                Ok(String::new())
            }
            "finish" => {
                let name = next()?;
                let fault = args.take_key("fault");
                loop {
                    let text = self.step(&name, fault)?;
                    if !text.starts_with("read ") && !text.starts_with("swap ") {
                        return Ok(text);
                    }
                }
            }
            "step" => {
                let name = next()?;
                self.step(&name, args.take_key("fault"))
            }
            "history" => {
                let lines = self.known.log.iter().map(|entry| format!("{entry}\n"));
                Ok(lines.collect())
            }
            "revert" => self.revert(next()?.parse()?),
            "offer" => {
                let to = next()?;
                self.offer(&to, args.take_key("from"))
            }
            "restart" => {
                self.replicas.insert(next()?, Replica::new());
                Ok(String::new())
            }
            "wait" => {
                self.now_ms += next()?.parse::<u64>()?;
                Ok(String::new())
            }
            "confirm" => {
                let replica = self.replicas.entry(next()?).or_default();
                let revision = replica.revision().unwrap_or_default();
                replica.confirm(self.now_ms, revision, 0);
                Ok(String::new())
            }
            "age" => {
                let replica = self.replicas.entry(next()?).or_default();
                let digest = replica.digest(self.now_ms);
                Ok(format!("{digest:?}\n"))
            }
            other => Err(format!("unknown command {other}").into()),
        }
    }
}

impl ScriptRunner {
    fn wanted(&self) -> Result<DeclarationSet, Box<dyn Error>> {
        Ok(parse_files(&self.files)?.value)
    }

    fn request(&self, id: &str, base: Option<&str>) -> Result<ChangeRequest, Box<dyn Error>> {
        let located = parse_files(&self.files)?;
        let edits = edits_between(&self.known.set, &located.value);
        let base = base.map(str::parse).transpose()?;
        let mut request = support::request(id.parse()?, base, edits);
        request.places = located.places;
        Ok(request)
    }

    fn diff(&self, uses: &[GuaranteeUse]) -> Output {
        let plan = plan(&self.known.set, &self.wanted()?, uses);
        let mut text = String::new();
        for change in &plan.changes {
            writeln!(text, "{change}")?;
        }
        for stop in &plan.stops {
            writeln!(text, "stops: {stop}")?;
        }
        Ok(text)
    }

    fn step(&mut self, name: &str, fault: Option<&str>) -> Output {
        let editor = self.editors.get_mut(name).ok_or("no such editor")?;
        let failure = match fault {
            Some("lost") => Some(CallFailure::Unanswered),
            Some(_) => Some(CallFailure::Unavailable),
            None => None,
        };
        let step = editor.next();
        match &step {
            EditorStep::Read { keys } => {
                let entries = self.store.read(keys);
                editor.on_read(failure.map_or(Ok(&entries[..]), Err));
            }
            EditorStep::Swap {
                key,
                expected,
                value,
            } => {
                let result = match failure {
                    Some(CallFailure::Unavailable) => SwapResult::Swapped,
                    _ => self.store.swap(key, *expected, value),
                };
                editor.on_swap(failure.map_or(Ok(result), Err));
            }
            _ => {}
        }
        Ok(describe(&step))
    }

    fn revert(&mut self, to: u64) -> Output {
        let plan = match plan_revert(&self.known, Revision(to)) {
            Ok(plan) => plan,
            Err(error) => return Ok(format!("{error}\n")),
        };
        let entries = self.store.read(&plan.keys());
        let id = 900 + to;
        let request = support::request(id, None, plan.edits(&entries)?);
        let (step, _) = run_change(&mut self.store, self.known.clone(), request);
        self.known = load(&mut self.store, self.known.clone());
        Ok(describe(&step))
    }

    fn offer(&mut self, to: &str, from: Option<&str>) -> Output {
        let have = self.replicas.get(to).and_then(Replica::revision);
        let offer = match from {
            Some(peer) => self
                .replicas
                .get(peer)
                .and_then(|peer| peer.offer_for(have)),
            None => Some(Offer::Full(Box::new(self.known.clone()))),
        };
        let Some(offer) = offer else {
            return Ok("nothing to offer\n".to_owned());
        };
        let kind = match &offer {
            Offer::Full(_) => "full",
            Offer::Delta(_) => "delta",
        };
        let replica = self.replicas.entry(to.to_owned()).or_default();
        Ok(match replica.offer(self.now_ms, offer) {
            OfferOutcome::Moved { from, to } => {
                let from = from.map_or("nothing".to_owned(), |from| from.to_string());
                format!("{kind}: moved from {from} to {to}\n")
            }
            other => format!("{kind}: {other:?}\n"),
        })
    }
}

fn describe_places(located: &Located<DeclarationSet>) -> String {
    let lines = located.places.iter();
    lines
        .map(|(key, place)| format!("{key} at {place}\n"))
        .collect()
}

fn describe(step: &EditorStep) -> String {
    match step {
        EditorStep::Read { keys } => format!("read {}\n", keys.join(" ")),
        EditorStep::Swap { key, expected, .. } => format!("swap {key} at {expected}\n"),
        EditorStep::Done(revision) => format!("done: revision {revision}\n"),
        EditorStep::Conflict(conflict) => format!("conflict: {conflict}\n"),
        EditorStep::Rejected(findings) => format!("rejected: {findings}\n"),
        EditorStep::Unavailable { may_apply } => format!("unavailable, may apply: {may_apply}\n"),
        EditorStep::Undecided => "undecided\n".to_owned(),
    }
}

/// Parses `organisation:data-centre:level:blocks:job`.
fn parse_use(raw: &str) -> Result<GuaranteeUse, Box<dyn Error>> {
    let [organisation, data_centre, level, in_use, job] =
        <[&str; 5]>::try_from(raw.split(':').collect::<Vec<_>>()).map_err(|_| "five parts")?;
    Ok(GuaranteeUse {
        organisation: organisation.parse()?,
        data_centre: data_centre.parse()?,
        level: level.parse()?,
        in_use: in_use.parse()?,
        jobs: vec![job.parse()?],
    })
}

#[rstest::rstest]
#[case("files")]
#[case("changes")]
#[case("replicas")]
fn declarations_scenario(#[case] name: &str) {
    let path = format!("tests/scripts/{name}");
    goldenscript::run(&mut ScriptRunner::default(), path).unwrap();
}
