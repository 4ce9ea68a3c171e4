//! As much JSON as the stand-ins need: the raw text of a member, and strings.

/// Returns the raw text of a member of an object.
pub fn member<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = skip_value(bytes, at)?;
        let found = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        let begin = skip_space(bytes, at + 1);
        let end = skip_value(bytes, begin)?;
        if found == key {
            return Some(&text[begin..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// Returns the content of a string without escapes.
pub fn string(raw: &str) -> Option<&str> {
    raw.strip_prefix('"')?.strip_suffix('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the end of the value that begins at `at`.
fn skip_value(bytes: &[u8], at: usize) -> Option<usize> {
    let mut depth = 0usize;
    let mut position = at;
    loop {
        match bytes.get(position)? {
            b'"' => {
                position += 1;
                while *bytes.get(position)? != b'"' {
                    position += if bytes[position] == b'\\' { 2 } else { 1 };
                }
                position += 1;
            }
            b'{' | b'[' => {
                depth += 1;
                position += 1;
            }
            b'}' | b']' => {
                depth = depth.checked_sub(1)?;
                position += 1;
            }
            b',' | b':' if depth > 0 => {
                position += 1;
                continue;
            }
            byte if byte.is_ascii_whitespace() => {
                position += 1;
                continue;
            }
            _ => {
                while bytes.get(position).is_some_and(|byte| !b",:]}\"{[ \n\r\t".contains(byte)) {
                    position += 1;
                }
            }
        }
        if depth == 0 {
            return Some(position);
        }
    }
}
