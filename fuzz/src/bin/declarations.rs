//! Fuzz target for the parser of declarations.
//!
//! No input may make the parser panic, and accepted declarations must not differ from themselves.

use std::io::{self, Read};

use declarations::{SourceFile, diff, parse_files};

fn main() -> io::Result<()> {
    let mut input = Vec::new();
    io::stdin().read_to_end(&mut input)?;
    let file = SourceFile {
        name: "input.jsonc".to_owned(),
        text: String::from_utf8_lossy(&input).into_owned(),
    };
    if let Ok(located) = parse_files(&[file]) {
        assert!(diff(&located.value, &located.value).is_empty());
    }
    Ok(())
}
