//! Checks that the examples and tables in the operators' manual of the language agree with the
//! code.

use std::fs;

use console::{parse_statement, tables};

fn page() -> String {
    fs::read_to_string("../../docs/operators/language.md").unwrap()
}

#[test]
fn parse_statement_examples_of_page() {
    let page = page();
    let examples: Vec<&str> = page
        .split("```hemlock\n")
        .skip(1)
        .filter_map(|rest| rest.split("```").next())
        .flat_map(str::lines)
        .collect();
    assert!(examples.len() >= 25);
    for example in examples {
        let statement = parse_statement(example).unwrap_or_else(|e| panic!("{example}\n{e}"));
        assert_eq!(parse_statement(&statement.to_string()), Ok(statement));
    }
}

#[test]
fn tables_match_page() {
    let page = page();
    for table in tables() {
        let names: Vec<&str> = table.columns.iter().map(|column| column.name).collect();
        let line = format!("| `{}` | {} |", table.name, names.join(", "));
        assert!(page.contains(&line), "the page lacks {line}");
    }
}
