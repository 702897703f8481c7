//! A small JSON reader and the escaping of strings, enough for the messages of the platform's pages.

use std::collections::BTreeMap;

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
    /// Parses a text; returns `None` if it is no JSON value.
    pub fn parse(text: &[u8]) -> Option<Self> {
        Reader { text, at: 0 }.value()
    }

    /// Returns the member `name`, or `Null`.
    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Table(members) => members.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    /// Returns the text, or an empty one.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    /// Returns the number, or 0.
    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    /// Returns the entries of a list.
    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(entries) => entries,
            _ => &[],
        }
    }
}

/// Returns `text` as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            '\n' => out.push_str("\\n"),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.text.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.text.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.text.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.text.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    out.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        other => other,
                    });
                }
                other => out.push(other),
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
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(entries));
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut members = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Table(members));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(b':')?;
            members.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Table(members));
            }
        }
    }
}
