use super::rejection::Rejection;

const MAX_TARGET_BYTES: usize = 4 * 1024;

/// Validates the target of a request line: a path with an optional query.
///
/// The target is forwarded unchanged, so targets that an endpoint could interpret
/// differently than the gateway are rejected: dot segments, also escaped ones,
/// escaped separators, and malformed escapes.
pub(super) fn check(target: &str) -> Result<(), Rejection> {
    if target.len() > MAX_TARGET_BYTES {
        let found = target.len();
        return Err(Rejection::bad_request(&format!(
            "expected a path of at most {MAX_TARGET_BYTES} bytes, found {found}"
        )));
    }
    if !target.starts_with('/') {
        return reject("expected a path that starts with `/`");
    }
    if !target.bytes().all(is_target_byte) {
        return reject("expected characters that a path may hold");
    }
    check_escapes(target.as_bytes())?;
    check_segments(path_of(target))
}

fn reject(detail: &str) -> Result<(), Rejection> {
    Err(Rejection::bad_request(detail))
}

fn is_target_byte(byte: u8) -> bool {
    byte.is_ascii_graphic() && !b"\"#<>\\`".contains(&byte)
}

fn path_of(target: &str) -> &str {
    target.split('?').next().unwrap_or(target)
}

fn check_escapes(target: &[u8]) -> Result<(), Rejection> {
    let mut at = 0;
    while at < target.len() {
        if target[at] != b'%' {
            at += 1;
            continue;
        }
        let digits = target.get(at + 1..at + 3).unwrap_or_default();
        let whole = digits.len() == 2 && digits.iter().all(u8::is_ascii_hexdigit);
        if !whole {
            return reject("expected two hexadecimal digits after `%` in the path");
        }
        at += 3;
    }
    Ok(())
}

fn check_segments(path: &str) -> Result<(), Rejection> {
    let plain = path.to_ascii_lowercase().replace("%2e", ".");
    if plain.starts_with("//") {
        return reject("expected a service name in the path, found an empty segment");
    }
    if plain
        .split('/')
        .any(|segment| segment == "." || segment == "..")
    {
        return reject("expected a path without `.` and `..` segments");
    }
    let ambiguous = ["%00", "%2f", "%5c"];
    if ambiguous.iter().any(|escape| plain.contains(escape)) {
        return reject("expected a path without escaped NUL, `/` and `\\`");
    }
    Ok(())
}
