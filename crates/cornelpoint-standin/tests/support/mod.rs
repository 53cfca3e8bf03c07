//! HTTP client helpers and settings for the tests.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use cornelpoint::name::InstanceId;
use cornelpoint_standin::endpoint::EndpointSettings;

/// Returns settings of an endpoint with eight slots and five connections.
pub fn settings() -> EndpointSettings {
    let mut settings = EndpointSettings::new(InstanceId::try_from("quoting-1").unwrap());
    settings.connections = 5;
    settings
}

/// Sends a request on a new connection and reads until the connection closes.
pub fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    read_to_end(&mut stream)
}

/// Reads until the connection closes.
pub fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset by the endpoint ends the answer as well.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).replace('\r', "")
}

/// Returns a request that asks for the connection to be closed after the
/// answer.
pub fn post(identity: &str, query: &str) -> String {
    format!(
        "POST /orders{query} HTTP/1.1\r\nhost: endpoint\r\nconnection: close\r\n\
         cornelpoint-request: {identity}\r\ncontent-length: 5\r\n\r\nslab1"
    )
}
