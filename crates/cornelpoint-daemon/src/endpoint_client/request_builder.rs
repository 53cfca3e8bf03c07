use std::net::SocketAddr;

use cornelpoint::request::Method;
use ureq::http;
use ureq::http::HeaderName;
use ureq::http::HeaderValue;
use ureq::http::Request;
use ureq::http::Uri;

use super::outgoing_request::OutgoingRequest;
use crate::caller_edge::Header;

/// Bytes of a header line besides its name and value.
const HEADER_LINE_OVERHEAD_BYTES: usize = ": \r\n".len();

/// Builds the request of the `http` crate. Returns `None` if a part is not valid
/// there, or if a line would be longer than `max_line_bytes`.
pub(super) fn build(
    address: SocketAddr,
    outgoing: &OutgoingRequest<'_>,
    max_line_bytes: usize,
) -> Option<Request<()>> {
    let mut request = Request::new(());
    *request.method_mut() = method_of(outgoing.method);
    *request.uri_mut() = uri_of(address, outgoing.target, max_line_bytes)?;
    let dropped = connection_tokens(outgoing.headers);
    let kept = outgoing
        .headers
        .iter()
        .filter(|header| is_sent(header, &dropped));
    for header in kept {
        append(&mut request, &header.name, &header.value, max_line_bytes)?;
    }
    let id = outgoing.request_id;
    append(&mut request, OutgoingRequest::ID_HEADER, id, max_line_bytes)?;
    Some(request)
}

/// Returns the names of the headers that `connection` headers declare as
/// hop-by-hop.
pub(super) fn connection_tokens(headers: &[Header]) -> Vec<String> {
    let named = headers.iter().filter(|header| header.name == "connection");
    let tokens = named.flat_map(|header| header.value.split(','));
    tokens
        .map(|token| token.trim().to_ascii_lowercase())
        .collect()
}

fn is_sent(header: &Header, dropped: &[String]) -> bool {
    let is_set_by_client = matches!(
        header.name.as_str(),
        "content-length" | "expect" | OutgoingRequest::ID_HEADER
    );
    !is_set_by_client && !header.is_hop_by_hop() && !dropped.contains(&header.name)
}

fn method_of(method: Method) -> http::Method {
    match method {
        Method::Delete => http::Method::DELETE,
        Method::Get => http::Method::GET,
        Method::Head => http::Method::HEAD,
        Method::Patch => http::Method::PATCH,
        Method::Post => http::Method::POST,
        Method::Put => http::Method::PUT,
    }
}

fn uri_of(address: SocketAddr, target: &str, max_line_bytes: usize) -> Option<Uri> {
    if target.len() + HEADER_LINE_OVERHEAD_BYTES > max_line_bytes || target.contains('#') {
        return None;
    }
    Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(target)
        .build()
        .ok()
}

fn append(request: &mut Request<()>, name: &str, value: &str, max_line_bytes: usize) -> Option<()> {
    if name.len() + value.len() + HEADER_LINE_OVERHEAD_BYTES > max_line_bytes {
        return None;
    }
    let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
    let value = HeaderValue::from_bytes(value.as_bytes()).ok()?;
    request.headers_mut().append(name, value);
    Some(())
}
