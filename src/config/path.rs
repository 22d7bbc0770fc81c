//! Normalises request paths before they are matched against routes.

use std::borrow::Cow;

/// Returns the path with percent-encoded unreserved characters decoded, or
/// `None` if an upstream could interpret it as another path.
///
/// Rejects paths that do not start with `/` and paths with `.`, `..` or empty
/// segments (a trailing slash is allowed), encoded slashes, backslashes, NUL or
/// malformed encodings. Accepting them would let callers reach a keyed route
/// through an open one.
pub fn normalise_path(path: &str) -> Option<Cow<'_, str>> {
    let path = if path.contains('%') {
        Cow::Owned(decode(path)?)
    } else {
        Cow::Borrowed(path)
    };
    let segments = path.strip_prefix('/')?;
    if path.contains(['\\', '\0']) {
        return None;
    }
    let mut rest = segments.split('/').peekable();
    while let Some(segment) = rest.next() {
        let last = rest.peek().is_none();
        if segment == "." || segment == ".." || (segment.is_empty() && !last) {
            return None;
        }
    }
    Some(path)
}

/// Decodes percent-encoded unreserved characters and uppercases other encodings;
/// returns `None` for malformed ones and for encoded slashes, backslashes and NUL.
fn decode(path: &str) -> Option<String> {
    let mut text = String::with_capacity(path.len());
    let mut rest = path;
    while let Some((before, after)) = rest.split_once('%') {
        let (code, after) = after.split_at_checked(2)?;
        if !code.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        let byte = u8::from_str_radix(code, 16).ok()?;
        text.push_str(before);
        match byte {
            b'/' | b'\\' | 0 => return None,
            b if b.is_ascii_alphanumeric() || b"-._~".contains(&b) => text.push(char::from(b)),
            _ => {
                text.push('%');
                text.push_str(&code.to_ascii_uppercase());
            }
        }
        rest = after;
    }
    text.push_str(rest);
    Some(text)
}
