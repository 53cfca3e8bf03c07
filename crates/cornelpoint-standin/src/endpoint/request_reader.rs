use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use httparse::Status;

use super::http_request::Header;
use super::http_request::HttpRequest;

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 128;

/// Maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Maximum size of a request's body.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

/// Size of the read buffer.
const READ_BYTES: usize = 16 * 1024;

/// How the length of a body is determined.
enum Framing {
    Length(usize),
    Chunked,
}

/// Reads complete requests from a connection.
pub(super) struct RequestReader<'a> {
    stream: &'a TcpStream,
    buffer: Vec<u8>,
}

impl<'a> RequestReader<'a> {
    pub(super) fn new(stream: &'a TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads the next request; returns `None` if the connection closed between
    /// requests.
    pub(super) fn next(&mut self) -> io::Result<Option<HttpRequest>> {
        loop {
            if let Some((mut request, length)) = parse_head(&self.buffer)? {
                self.buffer.drain(..length);
                request.body = self.read_body(&request)?;
                return Ok(Some(request));
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid("request head exceeds the size limit"));
            }
            if !self.fill()? {
                return self.closed();
            }
        }
    }

    fn closed(&self) -> io::Result<Option<HttpRequest>> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        Err(ErrorKind::UnexpectedEof.into())
    }

    fn read_body(&mut self, request: &HttpRequest) -> io::Result<Vec<u8>> {
        if request.header("expect").is_some() {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        match framing(request)? {
            Framing::Length(length) => self.take(length),
            Framing::Chunked => self.read_chunks(),
        }
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let size = self.read_chunk_size()?;
            if body.len() + size > MAX_BODY_BYTES {
                return Err(invalid("request body exceeds the size limit"));
            }
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn read_chunk_size(&mut self) -> io::Result<usize> {
        loop {
            let parsed = httparse::parse_chunk_size(&self.buffer);
            match parsed.map_err(|_| invalid("invalid chunk size"))? {
                Status::Complete((length, size)) => {
                    self.buffer.drain(..length);
                    return usize::try_from(size).map_err(|_| invalid("invalid chunk size"));
                }
                Status::Partial => self.fill_some()?,
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill_some()?;
        }
        let rest = self.buffer.split_off(length);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    fn fill_some(&mut self) -> io::Result<()> {
        if self.fill()? {
            return Ok(());
        }
        Err(ErrorKind::UnexpectedEof.into())
    }

    /// Reads more bytes; returns false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; READ_BYTES];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length > 0)
    }
}

fn parse_head(buffer: &[u8]) -> io::Result<Option<(HttpRequest, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed
        .parse(buffer)
        .map_err(|error| invalid(&error.to_string()))?;
    let Status::Complete(length) = status else {
        return Ok(None);
    };
    let request = HttpRequest {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        headers: parsed.headers.iter().map(header).collect(),
        body: Vec::new(),
    };
    Ok(Some((request, length)))
}

fn header(parsed: &httparse::Header<'_>) -> Header {
    Header {
        name: parsed.name.to_owned(),
        value: String::from_utf8_lossy(parsed.value).into_owned(),
    }
}

fn framing(request: &HttpRequest) -> io::Result<Framing> {
    if request.header("transfer-encoding").is_some() {
        return Ok(Framing::Chunked);
    }
    let Some(value) = request.header("content-length") else {
        return Ok(Framing::Length(0));
    };
    match value.trim().parse() {
        Ok(length) if length <= MAX_BODY_BYTES => Ok(Framing::Length(length)),
        _ => Err(invalid("invalid content-length")),
    }
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, reason.to_owned())
}
