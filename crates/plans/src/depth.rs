//! A bound on nesting, checked before any parser sees a text.
//!
//! Parsers of nested values recurse, so a text of some kilobytes could use up
//! the stack and abort the process.

/// Values within one another in one file; the lists and settings need six.
pub const MAX_DEPTH: usize = 32;

/// Byte at which `text` nests deeper than [`MAX_DEPTH`], if it does.
///
/// Brackets in strings and comments do not count. A text that is no JSON may be
/// judged by other brackets than a parser would reach, but never by fewer.
pub fn find_too_deep(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    let mut depth = 0_usize;
    let mut at = 0;
    while let Some(byte) = bytes.get(at) {
        match byte {
            b'[' | b'{' => {
                depth += 1;
                if depth > MAX_DEPTH {
                    return Some(at);
                }
            }
            b']' | b'}' => depth = depth.saturating_sub(1),
            b'"' | b'\'' => at = end_of_string(bytes, at),
            b'/' if bytes.get(at + 1) == Some(&b'/') => at = end_of(bytes, at + 2, b"\n"),
            b'/' if bytes.get(at + 1) == Some(&b'*') => at = end_of(bytes, at + 2, b"*/"),
            _ => {}
        }
        at += 1;
    }
    None
}

/// The last byte of the string that begins at `start`.
fn end_of_string(bytes: &[u8], start: usize) -> usize {
    let quote = bytes[start];
    let mut at = start + 1;
    while let Some(byte) = bytes.get(at) {
        match byte {
            b'\\' => at += 1,
            byte if *byte == quote => return at,
            _ => {}
        }
        at += 1;
    }
    bytes.len()
}

/// The last byte of the first `mark` from `start` on.
fn end_of(bytes: &[u8], start: usize, mark: &[u8]) -> usize {
    let rest = bytes.get(start..).unwrap_or_default();
    let found = rest.windows(mark.len()).position(|window| window == mark);
    found.map_or(bytes.len(), |position| start + position + mark.len() - 1)
}
