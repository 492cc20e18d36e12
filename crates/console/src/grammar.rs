//! Parser from tokens to the syntax tree. A syntax error is reported at the furthest token that any
//! rule has failed at, with everything that was expected there.

use std::cell::RefCell;

use model::nearest::suggest;
use model::prelude::*;
use winnow::Parser;
use winnow::combinator::{alt, delimited, opt, preceded, repeat, separated, terminated};
use winnow::error::EmptyError;
use winnow::stream::{Stateful, Stream};

use crate::lexer::{SOURCE_NAME, Token, TokenKind};
use crate::query::{Comparison, Direction};
use crate::raw::{RawCondition, RawItem, RawLiteral, RawQuery, RawStatement, Spanned, Word};

/// Maximum nesting depth of conditions; bounds the recursion of the parser.
pub const NESTING_MAX: u32 = 64;

/// The furthest token that a rule has failed at, and what was expected there.
#[derive(Debug, Default)]
pub(crate) struct FurthestError {
    offset: usize,
    expected: Vec<&'static str>,
    found: Option<TokenKind>,
}

/// Tokens to parse, with the furthest error so far.
pub(crate) type Input<'t> = Stateful<&'t [Token], &'t RefCell<FurthestError>>;

/// Result of a grammar rule.
pub(crate) type Parsed<T> = Result<T, EmptyError>;

/// Parses all of `tokens` as one statement.
pub(crate) fn parse_tokens(text: &str, tokens: &[Token]) -> Result<RawStatement, Findings> {
    let furthest = RefCell::new(FurthestError::default());
    let mut input = Input {
        input: tokens,
        state: &furthest,
    };
    let parsed = terminated(parse_raw_statement, parse_end).parse_next(&mut input);
    parsed.map_err(|EmptyError| describe_error(text, &furthest.borrow()))
}

/// Builds the finding about the furthest error.
fn describe_error(text: &str, furthest: &FurthestError) -> Findings {
    let mut findings = Findings::default();
    let place = Place::of_offset(SOURCE_NAME, text, furthest.offset);
    let expected: Vec<String> = furthest
        .expected
        .iter()
        .map(|e| format_expected(e))
        .collect();
    let expected = expected.join(", ");
    let message = match &furthest.found {
        Some(TokenKind::Word(word)) => {
            let hint = suggest(word, furthest.expected.iter().copied());
            format!("expected {expected}; found {word:?}{hint}")
        }
        Some(TokenKind::Quoted(quoted)) => format!("expected {expected}; found text {quoted:?}"),
        Some(TokenKind::Symbol(symbol)) => format!("expected {expected}; found {symbol:?}"),
        Some(TokenKind::Flag(flag)) => format!("expected {expected}; found \"--{flag}\""),
        Some(TokenKind::End) | None => format!("expected {expected}; found the end"),
    };
    findings.push(place, message);
    findings
}

/// Formats an expected token; symbols are put in quotes.
fn format_expected(expected: &str) -> String {
    if expected.starts_with(|c: char| c.is_ascii_alphabetic() || c == '-') {
        expected.to_owned()
    } else {
        format!("{expected:?}")
    }
}

/// Consumes the next token if `accept` returns a value for it; records the error otherwise.
fn take_token<T>(
    input: &mut Input<'_>,
    expected: &'static str,
    accept: impl FnOnce(&Token) -> Option<T>,
) -> Parsed<T> {
    let Some(token) = input.input.first() else {
        return Err(EmptyError);
    };
    if let Some(taken) = accept(token) {
        input.next_token();
        return Ok(taken);
    }
    let mut furthest = input.state.borrow_mut();
    if furthest.found.is_none() || token.offset > furthest.offset {
        furthest.offset = token.offset;
        furthest.expected.clear();
        furthest.found = Some(token.kind.clone());
    }
    if token.offset == furthest.offset && !furthest.expected.contains(&expected) {
        furthest.expected.push(expected);
    }
    Err(EmptyError)
}

/// Parses the keyword `word`; returns its offset.
pub(crate) fn keyword(word: &'static str) -> impl FnMut(&mut Input<'_>) -> Parsed<usize> {
    move |input: &mut Input<'_>| {
        take_token(input, word, |token| match &token.kind {
            TokenKind::Word(found) if found == word => Some(token.offset),
            _ => None,
        })
    }
}

/// Parses the symbol `symbol`.
pub(crate) fn symbol(symbol: &'static str) -> impl FnMut(&mut Input<'_>) -> Parsed<()> {
    move |input: &mut Input<'_>| {
        take_token(input, symbol, |token| {
            (token.kind == TokenKind::Symbol(symbol)).then_some(())
        })
    }
}

/// Parses the flag `--plan`.
pub(crate) fn parse_plan_flag(input: &mut Input<'_>) -> Parsed<()> {
    take_token(input, "--plan", |token| {
        (token.kind == TokenKind::Flag("plan".to_owned())).then_some(())
    })
}

/// Parses any word; `what` names what it stands for in findings.
pub(crate) fn word(what: &'static str) -> impl FnMut(&mut Input<'_>) -> Parsed<Word> {
    move |input: &mut Input<'_>| {
        take_token(input, what, |token| match &token.kind {
            TokenKind::Word(found) => Some(Spanned {
                value: found.clone(),
                offset: token.offset,
            }),
            _ => None,
        })
    }
}

/// Parses a word or quoted text.
pub(crate) fn parse_literal(input: &mut Input<'_>) -> Parsed<RawLiteral> {
    take_token(input, "a value", |token| {
        let (value, is_quoted) = match &token.kind {
            TokenKind::Word(found) => (found.clone(), false),
            TokenKind::Quoted(found) => (found.clone(), true),
            TokenKind::Symbol(_) | TokenKind::Flag(_) | TokenKind::End => return None,
        };
        let offset = token.offset;
        Some(RawLiteral {
            text: Spanned { value, offset },
            is_quoted,
        })
    })
}

/// Parses the end of the text.
fn parse_end(input: &mut Input<'_>) -> Parsed<()> {
    take_token(input, "the end", |token| {
        (token.kind == TokenKind::End).then_some(())
    })
}

/// `statement = query | "explain" "job" ID | command`
fn parse_raw_statement(input: &mut Input<'_>) -> Parsed<RawStatement> {
    alt((
        parse_query.map(RawStatement::Query),
        parse_explain.map(RawStatement::Explain),
        crate::command::grammar::parse_command.map(RawStatement::Command),
    ))
    .parse_next(input)
}

/// `explain = "explain" "job" ID`
fn parse_explain(input: &mut Input<'_>) -> Parsed<Word> {
    preceded((keyword("explain"), keyword("job")), word("a job")).parse_next(input)
}

/// `query = "show" [items "of"] TABLE tail | "count" TABLE tail | "sum" COLUMN "of" TABLE tail`
fn parse_query(input: &mut Input<'_>) -> Parsed<RawQuery> {
    let (items, table) = alt((parse_show, parse_count, parse_sum)).parse_next(input)?;
    let by = parse_optional_words("by", input)?;
    let condition = opt(preceded(keyword("where"), parse_condition(0))).parse_next(input)?;
    let group_by = parse_group_by(input)?;
    let order_by = parse_order_by(input)?;
    let limit = opt(preceded(keyword("limit"), word("a number"))).parse_next(input)?;
    Ok(RawQuery {
        items,
        table,
        by,
        condition,
        group_by,
        order_by,
        limit,
    })
}

fn parse_show(input: &mut Input<'_>) -> Parsed<(Vec<RawItem>, Word)> {
    let items = terminated(parse_items, keyword("of"));
    preceded(
        keyword("show"),
        (opt(items).map(Option::unwrap_or_default), word("a table")),
    )
    .parse_next(input)
}

fn parse_count(input: &mut Input<'_>) -> Parsed<(Vec<RawItem>, Word)> {
    let offset = keyword("count").parse_next(input)?;
    let table = word("a table").parse_next(input)?;
    Ok((vec![RawItem::Count { offset }], table))
}

fn parse_sum(input: &mut Input<'_>) -> Parsed<(Vec<RawItem>, Word)> {
    let column = preceded(keyword("sum"), word("a column")).parse_next(input)?;
    let table = preceded(keyword("of"), word("a table")).parse_next(input)?;
    Ok((vec![RawItem::Sum(column)], table))
}

/// `items = item {"," item}`
fn parse_items(input: &mut Input<'_>) -> Parsed<Vec<RawItem>> {
    separated(1.., parse_item, symbol(",")).parse_next(input)
}

/// `item = "count" "(" ")" | "sum" "(" COLUMN ")" | COLUMN`
fn parse_item(input: &mut Input<'_>) -> Parsed<RawItem> {
    let count = terminated(keyword("count"), (symbol("("), symbol(")")))
        .map(|offset| RawItem::Count { offset });
    let sum = preceded(
        keyword("sum"),
        delimited(symbol("("), word("a column"), symbol(")")),
    )
    .map(RawItem::Sum);
    alt((count, sum, word("a column").map(RawItem::Column))).parse_next(input)
}

/// `[keyword COLUMN {"," COLUMN}]`
fn parse_optional_words(start: &'static str, input: &mut Input<'_>) -> Parsed<Vec<Word>> {
    let words = separated(1.., word("a column"), symbol(","));
    opt(preceded(keyword(start), words))
        .map(Option::unwrap_or_default)
        .parse_next(input)
}

fn parse_group_by(input: &mut Input<'_>) -> Parsed<Vec<Word>> {
    match opt(keyword("group")).parse_next(input)? {
        Some(_) => {
            preceded(keyword("by"), separated(1.., word("a column"), symbol(","))).parse_next(input)
        }
        None => Ok(Vec::new()),
    }
}

fn parse_order_by(input: &mut Input<'_>) -> Parsed<Vec<(RawItem, Direction)>> {
    match opt(keyword("order")).parse_next(input)? {
        Some(_) => {
            preceded(keyword("by"), separated(1.., parse_order, symbol(","))).parse_next(input)
        }
        None => Ok(Vec::new()),
    }
}

/// `order = item ["asc" | "desc"]`
fn parse_order(input: &mut Input<'_>) -> Parsed<(RawItem, Direction)> {
    let item = parse_item(input)?;
    let direction = opt(alt((
        keyword("asc").value(Direction::Asc),
        keyword("desc").value(Direction::Desc),
    )))
    .parse_next(input)?;
    Ok((item, direction.unwrap_or(Direction::Asc)))
}

/// `condition = conjunction {"or" conjunction}`, at most [`NESTING_MAX`] levels deep
fn parse_condition(depth: u32) -> impl FnMut(&mut Input<'_>) -> Parsed<RawCondition> {
    move |input: &mut Input<'_>| {
        let first = parse_conjunction(depth, input)?;
        let rest: Vec<RawCondition> = repeat(
            0..,
            preceded(keyword("or"), |input: &mut Input<'_>| {
                parse_conjunction(depth, input)
            }),
        )
        .parse_next(input)?;
        Ok(join_conditions(first, rest, RawCondition::Or))
    }
}

/// `conjunction = negation {"and" negation}`
fn parse_conjunction(depth: u32, input: &mut Input<'_>) -> Parsed<RawCondition> {
    let first = parse_negation(depth, input)?;
    let rest: Vec<RawCondition> = repeat(
        0..,
        preceded(keyword("and"), |input: &mut Input<'_>| {
            parse_negation(depth, input)
        }),
    )
    .parse_next(input)?;
    Ok(join_conditions(first, rest, RawCondition::And))
}

/// Returns a single condition unchanged; joins several by `combine`.
fn join_conditions(
    first: RawCondition,
    rest: Vec<RawCondition>,
    combine: impl FnOnce(Vec<RawCondition>) -> RawCondition,
) -> RawCondition {
    if rest.is_empty() {
        return first;
    }
    let mut parts = vec![first];
    parts.extend(rest);
    combine(parts)
}

/// `negation = "not" negation | "(" condition ")" | comparison`
fn parse_negation(depth: u32, input: &mut Input<'_>) -> Parsed<RawCondition> {
    if depth >= NESTING_MAX {
        return take_token(input, "less nesting", |_| None);
    }
    let negated = preceded(keyword("not"), |input: &mut Input<'_>| {
        parse_negation(depth + 1, input)
    })
    .map(|inner| RawCondition::Not(Box::new(inner)));
    let nested = delimited(symbol("("), parse_condition(depth + 1), symbol(")"));
    alt((negated, nested, parse_comparison)).parse_next(input)
}

/// `comparison = COLUMN (operator value | "in" "(" values ")" | "is" ["not"] "null")`
fn parse_comparison(input: &mut Input<'_>) -> Parsed<RawCondition> {
    let column = word("a column").parse_next(input)?;
    alt((
        (parse_operator, parse_literal).map(|(comparison, operand)| RawCondition::Compare {
            column: column.clone(),
            comparison,
            operand,
        }),
        preceded(keyword("in"), parse_literal_list).map(|values| RawCondition::In {
            column: column.clone(),
            values,
        }),
        delimited(keyword("is"), opt(keyword("not")), keyword("null")).map(|not| {
            RawCondition::IsNull {
                column: column.clone(),
                negated: not.is_some(),
            }
        }),
    ))
    .parse_next(input)
}

/// `values = "(" [value {"," value}] ")"`
pub(crate) fn parse_literal_list(input: &mut Input<'_>) -> Parsed<Vec<RawLiteral>> {
    delimited(
        symbol("("),
        separated(0.., parse_literal, symbol(",")),
        symbol(")"),
    )
    .parse_next(input)
}

fn parse_operator(input: &mut Input<'_>) -> Parsed<Comparison> {
    alt((
        symbol("=").value(Comparison::Equal),
        symbol("!=").value(Comparison::NotEqual),
        symbol("<").value(Comparison::Less),
        symbol("<=").value(Comparison::LessOrEqual),
        symbol(">").value(Comparison::Greater),
        symbol(">=").value(Comparison::GreaterOrEqual),
        keyword("contains").value(Comparison::Contains),
    ))
    .parse_next(input)
}
