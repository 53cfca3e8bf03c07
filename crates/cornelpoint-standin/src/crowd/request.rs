/// Returns a POST request with a whole body.
///
/// ```
/// use cornelpoint_standin::crowd::cut;
/// use cornelpoint_standin::crowd::whole;
///
/// let request = whole("plan.example", "/plan", b"{}");
/// assert!(request.ends_with(b"content-length: 2\r\n\r\n{}"));
/// assert!(cut(request, 1).ends_with(b"{"));
/// ```
#[must_use]
pub fn whole(host: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let length = format!("content-length: {}", body.len());
    [head(host, path, &length).as_bytes(), body].concat()
}

/// Returns a POST request whose body is in chunks of this size.
///
/// ```
/// use cornelpoint_standin::crowd::chunked;
///
/// let request = chunked("plan.example", "/plan", b"{}", 1);
/// assert!(request.ends_with(b"\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n"));
/// ```
#[must_use]
pub fn chunked(host: &str, path: &str, body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let mut request = head(host, path, "transfer-encoding: chunked").into_bytes();
    for chunk in body.chunks(chunk_bytes) {
        request.extend(format!("{:x}\r\n", chunk.len()).as_bytes());
        request.extend(chunk);
        request.extend(b"\r\n");
    }
    request.extend(b"0\r\n\r\n");
    request
}

/// Removes the end of a request, so that it never is complete.
#[must_use]
pub fn cut(mut request: Vec<u8>, bytes: usize) -> Vec<u8> {
    request.truncate(request.len() - bytes);
    request
}

fn head(host: &str, path: &str, length: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: {host}\r\n{length}\r\n\r\n")
}
