//! Nesting limit for JSON, checked before parsing.
//!
//! JSON parsers recurse into nested values, so a deeply nested text of a few
//! kilobytes could overflow the stack and abort the process.

/// Maximum nesting depth of a file; the lists and settings need six.
pub const MAX_DEPTH: usize = 32;

/// Returns the offset at which `text` is nested deeper than [`MAX_DEPTH`], if any.
///
/// Brackets in strings and comments are not counted. In malformed JSON, the
/// scan may count brackets that a parser would not reach, but it never misses
/// one that the parser does reach.
pub fn find_too_deep(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    let mut depth = 0_usize;
    let mut pos = 0;
    while let Some(byte) = bytes.get(pos) {
        match byte {
            b'[' | b'{' => {
                depth += 1;
                if depth > MAX_DEPTH {
                    return Some(pos);
                }
            }
            b']' | b'}' => depth = depth.saturating_sub(1),
            b'"' | b'\'' => pos = string_end(bytes, pos),
            b'/' if bytes.get(pos + 1) == Some(&b'/') => pos = comment_end(bytes, pos + 2, b"\n"),
            b'/' if bytes.get(pos + 1) == Some(&b'*') => pos = comment_end(bytes, pos + 2, b"*/"),
            _ => {}
        }
        pos += 1;
    }
    None
}

/// Returns the offset of the closing quote of the string that begins at `start`.
fn string_end(bytes: &[u8], start: usize) -> usize {
    let quote = bytes[start];
    let mut pos = start + 1;
    while let Some(byte) = bytes.get(pos) {
        match byte {
            b'\\' => pos += 1,
            byte if *byte == quote => return pos,
            _ => {}
        }
        pos += 1;
    }
    bytes.len()
}

/// Returns the offset of the last byte of the first `terminator` at or after `start`.
///
/// Returns the length of `bytes` if there is none.
fn comment_end(bytes: &[u8], start: usize, terminator: &[u8]) -> usize {
    let rest = bytes.get(start..).unwrap_or_default();
    let found = rest
        .windows(terminator.len())
        .position(|window| window == terminator);
    found.map_or(bytes.len(), |position| {
        start + position + terminator.len() - 1
    })
}
