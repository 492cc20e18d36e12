//! Lexer: splits the text of a statement into tokens with their byte offsets.

use model::prelude::*;
use winnow::LocatingSlice;
use winnow::Parser;
use winnow::ascii::multispace0;
use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::error::EmptyError;
use winnow::stream::{Location, Stream};
use winnow::token::{any, literal, none_of, one_of, take_while};

/// Name of the input that findings print.
pub(crate) const SOURCE_NAME: &str = "statement";

/// Reserved words; as text values they are printed in quotes.
const RESERVED: [&str; 8] = ["and", "or", "not", "null", "in", "is", "true", "false"];

/// Kind of a token, with its text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TokenKind {
    /// A keyword, name, number, duration or identifier.
    Word(String),
    /// Text in quotes.
    Quoted(String),
    /// An operator, parenthesis or comma.
    Symbol(&'static str),
    /// A flag such as `--plan`, without the dashes.
    Flag(String),
    /// The end of the text.
    End,
}

/// A token with the byte offset of its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Token {
    pub(crate) kind: TokenKind,
    pub(crate) offset: usize,
}

type LexerInput<'t> = LocatingSlice<&'t str>;

/// Returns whether `c` may start a word.
fn is_word_start(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_'
}

/// Returns whether `c` may continue a word.
fn is_word_continue(c: char) -> bool {
    is_word_start(c) || matches!(c, '-' | '.')
}

/// Returns whether `text` is a single word.
pub(crate) fn is_bare_word(text: &str) -> bool {
    text.starts_with(is_word_start) && text.chars().all(is_word_continue)
}

/// Returns whether `text` is a reserved word.
pub(crate) fn is_reserved(text: &str) -> bool {
    RESERVED.contains(&text)
}

/// Splits `text` into tokens; the last one is [`TokenKind::End`].
///
/// # Errors
///
/// One finding for each character that starts no token, or for a missing closing quote.
pub(crate) fn tokenise(text: &str) -> Result<Vec<Token>, Findings> {
    let mut findings = Findings::default();
    let mut tokens = Vec::new();
    let mut input = LocatingSlice::new(text);
    loop {
        skip_blanks(&mut input);
        let offset = input.current_token_start();
        match scan_token(&mut input) {
            Ok(kind) => tokens.push(Token { kind, offset }),
            Err(EmptyError) => {
                let Some(found) = input.next_token() else {
                    break;
                };
                let place = Place::of_offset(SOURCE_NAME, text, offset);
                if found == '"' {
                    findings.push(place, "the closing quote is missing");
                    break;
                }
                findings.push(place, format!("unexpected character {found:?}"));
            }
        }
    }
    tokens.push(Token {
        kind: TokenKind::End,
        offset: text.len(),
    });
    findings.into_result(tokens)
}

/// Skips white space.
fn skip_blanks(input: &mut LexerInput<'_>) {
    let skipped: Result<&str, EmptyError> = multispace0.parse_next(input);
    // `multispace0` accepts the empty string, so it does not fail.
    let _ = skipped;
}

/// Scans one token.
fn scan_token(input: &mut LexerInput<'_>) -> Result<TokenKind, EmptyError> {
    alt((
        scan_flag.map(TokenKind::Flag),
        scan_word.map(TokenKind::Word),
        scan_quoted.map(TokenKind::Quoted),
        scan_symbol.map(TokenKind::Symbol),
    ))
    .parse_next(input)
}

/// Scans a flag.
fn scan_flag(input: &mut LexerInput<'_>) -> Result<String, EmptyError> {
    preceded("--", take_while(1.., is_word_continue))
        .map(str::to_owned)
        .parse_next(input)
}

/// Scans a word or a negative number.
fn scan_word(input: &mut LexerInput<'_>) -> Result<String, EmptyError> {
    let negative = ('-', one_of('0'..='9'), take_while(0.., is_word_continue)).take();
    let word = (one_of(is_word_start), take_while(0.., is_word_continue)).take();
    alt((negative, word)).map(str::to_owned).parse_next(input)
}

/// Scans text in quotes; a backslash escapes the next character.
fn scan_quoted(input: &mut LexerInput<'_>) -> Result<String, EmptyError> {
    let character = alt((preceded('\\', any), none_of(['"', '\\'])));
    delimited('"', repeat(0.., character), '"').parse_next(input)
}

/// Scans an operator, parenthesis or comma.
fn scan_symbol(input: &mut LexerInput<'_>) -> Result<&'static str, EmptyError> {
    alt((
        literal("!=").value("!="),
        literal("<=").value("<="),
        literal(">=").value(">="),
        literal("=").value("="),
        literal("<").value("<"),
        literal(">").value(">"),
        literal("(").value("("),
        literal(")").value(")"),
        literal(",").value(","),
    ))
    .parse_next(input)
}
