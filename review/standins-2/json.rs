//! A small reader and writer of JSON, enough for the platform's messages.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Returns the field `name` of a table.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    /// Returns the value as a whole number.
    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(n) => Some(*n as u64),
            _ => None,
        }
    }

    /// Returns the value as text.
    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(t) => Some(t),
            _ => None,
        }
    }

    /// Returns the entries of a list; none for other values.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(entries) => entries,
            _ => &[],
        }
    }

    /// Reads a value; `None` if `text` is not JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.bytes.len()).then_some(value)
    }
}

/// Returns `text` as a JSON string, with quotes.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Number(n) => write!(f, "{n}"),
            Json::Text(t) => write!(f, "{}", quote(t)),
            Json::List(entries) => {
                let entries: Vec<String> = entries.iter().map(Json::to_string).collect();
                write!(f, "[{}]", entries.join(","))
            }
            Json::Table(fields) => {
                let fields: Vec<String> =
                    fields.iter().map(|(k, v)| format!("{}:{v}", quote(k))).collect();
                write!(f, "{{{}}}", fields.join(","))
            }
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (*self.bytes.get(self.at)? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_there = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_there.then_some(value)
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = std::str::from_utf8(hex).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => {
                    out.push(byte);
                    self.at += 1;
                }
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut entries = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(entries));
        }
        loop {
            entries.push(self.value()?);
            if self.take(b']').is_some() {
                return Some(Json::List(entries));
            }
            self.take(b',')?;
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Table(fields));
        }
        loop {
            self.skip_space();
            let name = self.text()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.take(b'}').is_some() {
                return Some(Json::Table(fields));
            }
            self.take(b',')?;
        }
    }
}
