//! A reader for the JSON bodies that hosts and workers send to the stand-ins.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`, `true` or `false`; the stand-ins tell none of them apart.
    Literal,
    /// A number.
    Number(f64),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Json>),
    /// An object.
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses `text`; returns `None` if it is no JSON value.
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    /// Returns the member `name` of an object.
    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(members) => members.get(name),
            _ => None,
        }
    }

    /// Returns the member `name` as a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    /// Returns the member `name` as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the entries of the member `name`; none if it is no array.
    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(entries)) => entries,
            _ => &[],
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

    fn next_is(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' | b'f' | b'n' => {
                let rest = &self.bytes[self.at..];
                let literals = [&b"true"[..], b"false", b"null"];
                let literal = literals.into_iter().find(|l| rest.starts_with(l))?;
                self.at += literal.len();
                Some(Json::Literal)
            }
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.at += 1;
        let mut members = BTreeMap::new();
        if self.next_is(b'}') {
            return Some(Json::Object(members));
        }
        loop {
            self.skip_space();
            let name = self.text()?;
            if !self.next_is(b':') {
                return None;
            }
            members.insert(name, self.value()?);
            if self.next_is(b'}') {
                return Some(Json::Object(members));
            }
            if !self.next_is(b',') {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut entries = Vec::new();
        if self.next_is(b']') {
            return Some(Json::List(entries));
        }
        loop {
            entries.push(self.value()?);
            if self.next_is(b']') {
                return Some(Json::List(entries));
            }
            if !self.next_is(b',') {
                return None;
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        if !self.next_is(b'"') {
            return None;
        }
        let mut out = Vec::new();
        loop {
            match self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'u' => {
                            let code = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(code.ok()?, 16).ok()?;
                            self.at += 4;
                            let mut buf = [0; 4];
                            let c = char::from_u32(code)?;
                            out.extend_from_slice(c.encode_utf8(&mut buf).as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => {
                    out.push(*byte);
                    self.at += 1;
                }
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }
}
