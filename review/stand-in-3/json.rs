//! A small JSON reader and the escaping that the writers need.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<String> {
        match self.get(name)? {
            Json::Text(text) => Some(text.clone()),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }
}

/// Returns the text as a JSON string, with quotes.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for char in text.chars() {
        match char {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            char if (char as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", char as u32)),
            char => quoted.push(char),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'text> {
    bytes: &'text [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip_space();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.items(),
            b'{' => self.fields(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn items(&mut self) -> Option<Json> {
        self.at += 1;
        let mut items = Vec::new();
        if self.take(b']') {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b']') {
                return Some(Json::List(items));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn fields(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = Vec::new();
        if self.take(b'}') {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            if !self.take(b':') {
                return None;
            }
            fields.push((name, self.value()?));
            if self.take(b'}') {
                return Some(Json::Object(fields));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => self.escape(&mut bytes)?,
                byte => bytes.push(byte),
            }
        }
    }

    fn escape(&mut self, bytes: &mut Vec<u8>) -> Option<()> {
        let byte = *self.bytes.get(self.at)?;
        self.at += 1;
        match byte {
            b'n' => bytes.push(b'\n'),
            b't' => bytes.push(b'\t'),
            b'r' => bytes.push(b'\r'),
            b'b' => bytes.push(8),
            b'f' => bytes.push(12),
            b'u' => {
                let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                self.at += 4;
                let char = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                bytes.extend(char.to_string().bytes());
            }
            byte => bytes.push(byte),
        }
        Some(())
    }
}
