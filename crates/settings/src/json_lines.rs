//! Lines of the values in a JSON text, by their path.

/// Part of a path.
enum Segment<'a> {
    Name(&'a str),
    Index(usize),
}

/// Line, counted from 1, of the value at a path such as `routes[2].timeout_ms`; of the deepest
/// value on the way to it if there is none. The text has to be valid JSON without comments.
pub fn json_line(text: &str, path: &str) -> usize {
    let mut scanner = Scanner {
        bytes: text.as_bytes(),
        at: 0,
    };
    scanner.skip_space();
    let mut found = scanner.at;
    for segment in segments(path) {
        match scanner.enter(&segment) {
            Some(position) => found = position,
            None => break,
        }
    }
    1 + text.as_bytes()[..found]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
}

fn segments(path: &str) -> impl Iterator<Item = Segment<'_>> {
    let names = path.split(['.', '[', ']']).filter(|name| !name.is_empty());
    names.map(|name| match name.parse() {
        Ok(index) => Segment::Index(index),
        Err(_) => Segment::Name(name),
    })
}

struct Scanner<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Scanner<'a> {
    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn skip_space(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    /// Skips a byte and the space around it; returns whether it was there.
    fn skip_byte(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_there = self.peek() == Some(byte);
        if is_there {
            self.at += 1;
            self.skip_space();
        }
        is_there
    }

    /// Goes to the value of a member or an element; returns where the member or element
    /// begins, or `None` if there is none.
    fn enter(&mut self, segment: &Segment<'_>) -> Option<usize> {
        let (open, close) = match segment {
            Segment::Name(_) => (b'{', b'}'),
            Segment::Index(_) => (b'[', b']'),
        };
        if !self.skip_byte(open) {
            return None;
        }
        let mut index = 0;
        while self.peek().is_some_and(|byte| byte != close) {
            let begin = self.at;
            let is_found = match segment {
                Segment::Name(name) => {
                    let key = self.skip_string();
                    if !self.skip_byte(b':') {
                        return None;
                    }
                    key == name.as_bytes()
                }
                Segment::Index(wanted) => index == *wanted,
            };
            if is_found {
                return Some(begin);
            }
            self.skip_value();
            if !self.skip_byte(b',') {
                return None;
            }
            index += 1;
        }
        None
    }

    /// Skips a string; returns what is between its quotes.
    fn skip_string(&mut self) -> &'a [u8] {
        let begin = self.at + 1;
        self.at = begin;
        while let Some(byte) = self.peek() {
            match byte {
                b'"' => {
                    self.at += 1;
                    return &self.bytes[begin..self.at - 1];
                }
                b'\\' => self.at += 2,
                _ => self.at += 1,
            }
        }
        &[]
    }

    fn skip_value(&mut self) {
        let mut depth = 0;
        while let Some(byte) = self.peek() {
            match byte {
                b'"' => {
                    self.skip_string();
                    continue;
                }
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return,
                b'}' | b']' => depth -= 1,
                b',' if depth == 0 => return,
                _ => {}
            }
            self.at += 1;
        }
    }
}
