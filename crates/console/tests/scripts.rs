//! Runs the scripts: statements, their answers and the findings about mistakes.

mod support;

use std::error::Error;
use std::fmt::Write;

use console::{Statement, authorise, parse_statement, run_query};
use goldenscript::{Command, Context, Runner};
use model::prelude::*;
use support::SampleRows;

struct ConsoleRunner;

impl Runner for ConsoleRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let organisation: Option<OrganisationName> =
            args.take_key("as").map(str::parse).transpose()?;
        let text = args.next_pos().ok_or("no statement")?;
        args.reject_next()?;
        let statement = match parse_statement(text) {
            Ok(statement) => statement,
            Err(findings) => return Ok(format!("{findings}\n")),
        };
        match command.name.as_str() {
            "parse" => Ok(format!("{statement}\n")),
            "run" => Ok(answer(statement, organisation.as_ref())),
            other => Err(format!("unknown command {other}").into()),
        }
    }
}

fn answer(statement: Statement, organisation: Option<&OrganisationName>) -> String {
    let role = match organisation {
        Some(_) => Role::Caller,
        None => Role::Operator,
    };
    let query = match authorise(statement, role, organisation) {
        Ok(Statement::Query(query)) => query,
        Ok(other) => return format!("allowed: {other}\n"),
        Err(error) => return format!("{error}\n"),
    };
    match run_query(&query, &SampleRows) {
        Ok(table) => {
            let mut text = table.columns.join(" | ");
            for row in table.rows {
                let values: Vec<String> = row.iter().map(ToString::to_string).collect();
                write!(text, "\n{}", values.join(" | ")).unwrap();
            }
            text + "\n"
        }
        Err(findings) => format!("{findings}\n"),
    }
}

#[rstest::rstest]
#[case("queries")]
#[case("mistakes")]
#[case("roles")]
fn console_scenario(#[case] name: &str) {
    let path = format!("tests/scripts/{name}");
    goldenscript::run(&mut ConsoleRunner, path).unwrap();
}
