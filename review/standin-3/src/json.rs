//! The parts of a JSON text that the store's stand-in has to know.

/// Returns the raw text of a member of the outermost object.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
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
        let key_end = value_end(bytes, at)?;
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        let start = skip_space(bytes, at + 1);
        let end = value_end(bytes, start)?;
        if key == name {
            return Some(text[start..end].trim());
        }
        at = skip_space(bytes, end);
        match bytes.get(at) {
            Some(b',') => at += 1,
            _ => return None,
        }
    }
}

/// Returns a member that is a plain text.
pub fn text_member(text: &str, name: &str) -> Option<String> {
    member(text, name)?.strip_prefix('"')?.strip_suffix('"').map(str::to_owned)
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns where the value that begins at `at` ends.
fn value_end(bytes: &[u8], mut at: usize) -> Option<usize> {
    let mut depth = 0;
    loop {
        match bytes.get(at)? {
            b'"' => {
                at += 1;
                while *bytes.get(at)? != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' if depth == 0 => return Some(at),
            b'}' | b']' => {
                depth -= 1;
                at += 1;
            }
            b',' if depth == 0 => return Some(at),
            _ => at += 1,
        }
        let is_closed = matches!(bytes.get(at.wrapping_sub(1)), Some(b'"' | b'}' | b']'));
        if depth == 0 && is_closed {
            return Some(at);
        }
    }
}
