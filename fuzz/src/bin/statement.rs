//! Fuzz target for the statement parser.
//!
//! No input may make the parser panic, and an accepted statement must print as text that parses to
//! the same statement.

use std::io::{self, Read};

use console::parse_statement;

fn main() -> io::Result<()> {
    let mut input = Vec::new();
    io::stdin().read_to_end(&mut input)?;
    let text = String::from_utf8_lossy(&input);
    if let Ok(statement) = parse_statement(&text) {
        let printed = statement.to_string();
        assert_eq!(parse_statement(&printed), Ok(statement), "{printed}");
    }
    Ok(())
}
