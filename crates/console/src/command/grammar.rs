//! Grammar rules of commands.

use winnow::Parser;
use winnow::combinator::{alt, opt, preceded, separated};

use crate::grammar::{
    Input, Parsed, keyword, parse_literal, parse_literal_list, parse_plan_flag, symbol, word,
};
use crate::raw::{RawCommand, RawLiteral, RawSetting, RawVerb, Word};

/// `command = verb TARGET [settings] ["--plan"]`
pub(crate) fn parse_command(input: &mut Input<'_>) -> Parsed<RawCommand> {
    let (verb, target, settings) = alt((
        parse_create_or_alter,
        parse_guarantee,
        parse_without_settings,
        parse_worker_or_job,
    ))
    .parse_next(input)?;
    let plan = opt(parse_plan_flag).parse_next(input)?;
    Ok(RawCommand {
        verb,
        target,
        settings,
        is_plan: plan.is_some(),
    })
}

/// Verb, target and settings of a command.
type CommandParts = (RawVerb, Word, Vec<RawSetting>);

/// `("create" | "alter") ("organisation" | "class") NAME "with" settings`
fn parse_create_or_alter(input: &mut Input<'_>) -> Parsed<CommandParts> {
    let is_created =
        alt((keyword("create").value(true), keyword("alter").value(false))).parse_next(input)?;
    let is_organisation = alt((
        keyword("organisation").value(true),
        keyword("class").value(false),
    ))
    .parse_next(input)?;
    let verb = match (is_created, is_organisation) {
        (true, true) => RawVerb::CreateOrganisation,
        (false, true) => RawVerb::AlterOrganisation,
        (true, false) => RawVerb::CreateClass,
        (false, false) => RawVerb::AlterClass,
    };
    let target = word("a name").parse_next(input)?;
    let settings =
        preceded(keyword("with"), separated(1.., parse_setting, symbol(","))).parse_next(input)?;
    Ok((verb, target, settings))
}

/// `setting = NAME "=" (value | "(" values ")")`
fn parse_setting(input: &mut Input<'_>) -> Parsed<RawSetting> {
    let name = word("a setting").parse_next(input)?;
    let values = preceded(
        symbol("="),
        alt((parse_literal_list, parse_literal.map(|value| vec![value]))),
    )
    .parse_next(input)?;
    Ok(RawSetting { name, values })
}

/// `"set" "guarantee" "of" NAME "in" DATA_CENTRE "to" COUNT LEVEL`
fn parse_guarantee(input: &mut Input<'_>) -> Parsed<CommandParts> {
    let target = preceded(
        (keyword("set"), keyword("guarantee"), keyword("of")),
        word("an organisation"),
    )
    .parse_next(input)?;
    let data_centre = preceded(keyword("in"), word("a data centre")).parse_next(input)?;
    let count = preceded(keyword("to"), word("a number")).parse_next(input)?;
    let level = word("a level").parse_next(input)?;
    let settings = [data_centre, count, level].map(|text| RawSetting {
        name: text.clone(),
        values: vec![RawLiteral {
            text,
            is_quoted: false,
        }],
    });
    Ok((RawVerb::SetGuarantee, target, settings.into()))
}

/// `("suspend" | "resume" | "delete") "organisation" NAME | "delete" "class" NAME`
fn parse_without_settings(input: &mut Input<'_>) -> Parsed<CommandParts> {
    let verb = alt((
        (keyword("suspend"), keyword("organisation")).value(RawVerb::SuspendOrganisation),
        (keyword("resume"), keyword("organisation")).value(RawVerb::ResumeOrganisation),
        (keyword("delete"), keyword("organisation")).value(RawVerb::DeleteOrganisation),
        (keyword("delete"), keyword("class")).value(RawVerb::DeleteClass),
    ))
    .parse_next(input)?;
    let target = word("a name").parse_next(input)?;
    Ok((verb, target, Vec::new()))
}

/// `("drain" | "return") "worker" NAME | "cancel" "job" ID`
fn parse_worker_or_job(input: &mut Input<'_>) -> Parsed<CommandParts> {
    let verb = alt((
        (keyword("drain"), keyword("worker")).value(RawVerb::DrainWorker),
        (keyword("return"), keyword("worker")).value(RawVerb::ReturnWorker),
        (keyword("cancel"), keyword("job")).value(RawVerb::CancelJob),
    ))
    .parse_next(input)?;
    let target = word("a name").parse_next(input)?;
    Ok((verb, target, Vec::new()))
}
