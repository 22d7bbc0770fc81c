//! Finds values in JSON text without decoding them, so that the store keeps what a writer wrote.

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while text.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the index behind the value that begins at `at`.
fn skip_value(text: &[u8], at: usize) -> Option<usize> {
    let mut at = skip_space(text, at);
    match text.get(at)? {
        b'"' => {
            at += 1;
            while *text.get(at)? != b'"' {
                at += if text[at] == b'\\' { 2 } else { 1 };
            }
            Some(at + 1)
        }
        b'{' | b'[' => {
            let mut depth = 0;
            loop {
                match text.get(at)? {
                    b'"' => {
                        at = skip_value(text, at)?;
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => depth -= 1,
                    _ => {}
                }
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
        }
        _ => {
            while text.get(at).is_some_and(|b| !b",}] \r\n\t".contains(b)) {
                at += 1;
            }
            Some(at)
        }
    }
}

/// Returns the text of a field of an object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = object.as_bytes();
    let mut at = skip_space(text, 0) + 1;
    loop {
        at = skip_space(text, at);
        if *text.get(at)? != b'"' {
            return None;
        }
        let end = skip_value(text, at)?;
        let key = &object[at + 1..end - 1];
        let start = skip_space(text, skip_space(text, end) + 1);
        let stop = skip_value(text, start)?;
        if key == name {
            return Some(&object[start..stop]);
        }
        at = skip_space(text, stop);
        if *text.get(at)? != b',' {
            return None;
        }
        at += 1;
    }
}

/// Returns a string field without its quotes; escapes stay as they are.
pub fn string<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    field(object, name)?.strip_prefix('"')?.strip_suffix('"')
}
