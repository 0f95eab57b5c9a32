//! As much JSON and base64 as the stand-ins need.

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
    /// Parses a text; `Null` if it is not JSON.
    pub fn parse(text: &str) -> Json {
        let mut rest = text.as_bytes();
        value(&mut rest).unwrap_or(Json::Null)
    }

    /// A field of a table; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(n) => Some(*n as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn space(rest: &mut &[u8]) {
    while let [b' ' | b'\n' | b'\r' | b'\t', tail @ ..] = rest {
        *rest = tail;
    }
}

fn eat(rest: &mut &[u8], byte: u8) -> Option<()> {
    space(rest);
    let tail = rest.strip_prefix(&[byte])?;
    *rest = tail;
    Some(())
}

fn value(rest: &mut &[u8]) -> Option<Json> {
    space(rest);
    for (word, json) in
        [("null", Json::Null), ("true", Json::Bool(true)), ("false", Json::Bool(false))]
    {
        if let Some(tail) = rest.strip_prefix(word.as_bytes()) {
            *rest = tail;
            return Some(json);
        }
    }
    match rest.first()? {
        b'"' => Some(Json::Text(string(rest)?)),
        b'[' => {
            eat(rest, b'[')?;
            let mut list = Vec::new();
            while eat(rest, b']').is_none() {
                list.push(value(rest)?);
                let _ = eat(rest, b',');
            }
            Some(Json::List(list))
        }
        b'{' => {
            eat(rest, b'{')?;
            let mut fields = BTreeMap::new();
            while eat(rest, b'}').is_none() {
                space(rest);
                let name = string(rest)?;
                eat(rest, b':')?;
                fields.insert(name, value(rest)?);
                let _ = eat(rest, b',');
            }
            Some(Json::Table(fields))
        }
        _ => {
            let end = rest.iter().position(|b| !b"+-.0123456789eE".contains(b));
            let (digits, tail) = rest.split_at(end.unwrap_or(rest.len()));
            *rest = tail;
            std::str::from_utf8(digits).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn string(rest: &mut &[u8]) -> Option<String> {
    eat(rest, b'"')?;
    let mut out = Vec::new();
    loop {
        let (byte, tail) = rest.split_first()?;
        *rest = tail;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let (escaped, tail) = rest.split_first()?;
                *rest = tail;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(rest.get(..4)?).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        *rest = &rest[4..];
                        let c = char::from_u32(code)?;
                        out.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
                    }
                    other => out.push(*other),
                }
            }
            other => out.push(*other),
        }
    }
}

/// A text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

/// Encodes bytes as base64.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let word =
            group.iter().fold(0_u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - group.len()));
        for i in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * i)) as usize & 63];
            out.push(if i <= group.len() { char::from(sign) } else { '=' });
        }
    }
    out
}
