//! A small JSON parser and base64, for the bodies of the store's calls.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Table(rows) => {
                rows.iter().find(|row| row.0 == name).map_or(&Value::Null, |row| &row.1)
            }
            _ => &Value::Null,
        }
    }

    pub fn list(&self) -> &[Value] {
        if let Value::List(items) = self { items } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Value::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> f64 {
        if let Value::Number(number) = self { *number } else { 0.0 }
    }
}

pub fn parse(bytes: &[u8]) -> Option<Value> {
    let mut at = 0;
    let value = value(bytes, &mut at)?;
    Some(value)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Value> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Value::Table(rows));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = text(bytes, at)?;
                        skip(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        rows.push((name, value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Value::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(bytes, at)?),
                }
            }
        }
        b'"' => text(bytes, at).map(Value::Text),
        b't' => word(bytes, at, "true", Value::Bool(true)),
        b'f' => word(bytes, at, "false", Value::Bool(false)),
        b'n' => word(bytes, at, "null", Value::Null),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Value::Number)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Value) -> Option<Value> {
    if !bytes[*at..].starts_with(word.as_bytes()) {
        return None;
    }
    *at += word.len();
    Some(value)
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                        out.extend_from_slice(code.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte))
        .map(|digit| digit as u32)
        .collect();
    let mut out = Vec::new();
    for group in digits.chunks(4) {
        let mut bits = 0;
        for at in 0..4 {
            bits = bits << 6 | group.get(at).copied().unwrap_or(0);
        }
        let bytes = [(bits >> 16) as u8, (bits >> 8) as u8, bits as u8];
        out.extend_from_slice(&bytes[..group.len().saturating_sub(1)]);
    }
    out
}
