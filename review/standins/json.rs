//! A small JSON value: parser and writer, enough for the platform's messages.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

/// A JSON value. Numbers are whole or fractional.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

pub use Json::{Int, List, Null};

/// Builds an object.
pub fn map<const N: usize>(entries: [(&str, Json); N]) -> Json {
    Json::Map(
        entries
            .into_iter()
            .map(|(k, v)| (k.to_string(), v))
            .collect(),
    )
}

/// Builds a string.
pub fn text(value: impl Into<String>) -> Json {
    Json::Text(value.into())
}

/// Builds a whole number.
pub fn int(value: u64) -> Json {
    Int(value.into())
}

static NOTHING: Json = Null;

impl Json {
    /// Returns a field of an object; null without it.
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&NOTHING),
            _ => &NOTHING,
        }
    }

    pub fn u64(&self) -> u64 {
        match self {
            Int(n) => u64::try_from(*n).unwrap_or(0),
            Json::Float(f) => *f as u64,
            _ => 0,
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            List(list) => list,
            _ => &[],
        }
    }

    /// Parses a document; null if it is malformed or empty.
    pub fn parse(source: &[u8]) -> Json {
        let source = String::from_utf8_lossy(source).chars().collect();
        let mut parser = Parser { source, at: 0 };
        parser.value().unwrap_or(Null)
    }
}

struct Parser {
    source: Vec<char>,
    at: usize,
}

impl Parser {
    fn peek(&mut self) -> Option<char> {
        while self.source.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.source.get(self.at).copied()
    }

    fn expect(&mut self, wanted: char) -> Option<()> {
        (self.peek()? == wanted).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        let found: String = self.source.get(self.at..end)?.iter().collect();
        self.at = end;
        (found == word).then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            '{' => self.object(),
            '[' => self.array(),
            '"' => self.string().map(Json::Text),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            'n' => self.word("null", Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        let mut entries = BTreeMap::new();
        self.expect('{')?;
        while self.peek()? != '}' {
            let key = self.string()?;
            self.expect(':')?;
            let value = self.value()?;
            entries.insert(key, value);
            if self.peek()? == ',' {
                self.at += 1;
            }
        }
        self.expect('}')?;
        Some(Json::Map(entries))
    }

    fn array(&mut self) -> Option<Json> {
        let mut items = Vec::new();
        self.expect('[')?;
        while self.peek()? != ']' {
            items.push(self.value()?);
            if self.peek()? == ',' {
                self.at += 1;
            }
        }
        self.expect(']')?;
        Some(List(items))
    }

    fn string(&mut self) -> Option<String> {
        self.expect('"')?;
        let mut out = String::new();
        loop {
            let c = *self.source.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(out),
                '\\' => {
                    let escaped = *self.source.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => out.push('\n'),
                        't' => out.push('\t'),
                        'r' => out.push('\r'),
                        'b' => out.push('\u{8}'),
                        'f' => out.push('\u{c}'),
                        'u' => {
                            let digits: String =
                                self.source.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            out.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let begin = self.at;
        while self
            .source
            .get(self.at)
            .is_some_and(|c| c.is_ascii_digit() || "+-.eE".contains(*c))
        {
            self.at += 1;
        }
        let digits: String = self.source[begin..self.at].iter().collect();
        match digits.parse::<i128>() {
            Ok(whole) => Some(Int(whole)),
            Err(_) => digits.parse().ok().map(Json::Float),
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Null => f.write_str("null"),
            Json::Bool(b) => write!(f, "{b}"),
            Int(n) => write!(f, "{n}"),
            Json::Float(n) => write!(f, "{n}"),
            Json::Text(text) => write_string(f, text),
            List(items) => {
                f.write_char('[')?;
                for (at, item) in items.iter().enumerate() {
                    let comma = if at > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                f.write_char(']')
            }
            Json::Map(entries) => {
                f.write_char('{')?;
                for (at, (key, value)) in entries.iter().enumerate() {
                    f.write_str(if at > 0 { "," } else { "" })?;
                    write_string(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_char('}')
            }
        }
    }
}

fn write_string(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_char('"')?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            '\n' => f.write_str("\\n")?,
            c if u32::from(c) < 0x20 => write!(f, "\\u{:04x}", u32::from(c))?,
            c => f.write_char(c)?,
        }
    }
    f.write_char('"')
}
