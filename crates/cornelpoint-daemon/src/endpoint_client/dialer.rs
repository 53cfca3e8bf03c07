use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use ureq::Error;
use ureq::Timeout;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::ResolvedSocketAddrs;
use ureq::unversioned::resolver::Resolver;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::LazyBuffers;
use ureq::unversioned::transport::NextTimeout;

use super::connection_watch::ConnectionWatch;
use super::watched_transport::WatchedTransport;

/// Establishes the only connection of an agent, always to the same address.
#[derive(Debug)]
pub(super) struct Dialer {
    /// Address of the endpoint.
    pub(super) address: SocketAddr,
    /// Records what happens on the connection.
    pub(super) watch: Arc<ConnectionWatch>,
}

impl Connector for Dialer {
    type Out = WatchedTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _: Option<()>,
    ) -> Result<Option<WatchedTransport>, Error> {
        let timeout = remaining_connect_time(details.timeout)?;
        let stream =
            TcpStream::connect_timeout(&self.address, timeout).map_err(|error| {
                match error.kind() {
                    ErrorKind::TimedOut | ErrorKind::WouldBlock => Error::Timeout(Timeout::Connect),
                    _ => Error::Io(error),
                }
            })?;
        stream.set_nodelay(true)?;
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        let watch = Arc::clone(&self.watch);
        Ok(Some(WatchedTransport::new(stream, buffers, watch)))
    }
}

fn remaining_connect_time(timeout: NextTimeout) -> Result<Duration, Error> {
    let expired = Error::Timeout(timeout.reason);
    if timeout.after.is_zero() {
        return Err(expired);
    }
    let after = timeout.not_zero().ok_or(expired)?;
    Ok(*after)
}

/// Resolves every name to the address of the endpoint.
#[derive(Debug)]
pub(super) struct FixedAddress(pub(super) SocketAddr);

impl Resolver for FixedAddress {
    fn resolve(&self, _: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, Error> {
        let mut addresses = self.empty();
        addresses.push(self.0);
        Ok(addresses)
    }
}
