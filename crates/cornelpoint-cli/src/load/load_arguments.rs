use std::net::SocketAddr;

use clap::Args;
use cornelpoint::name::ServiceName;

use super::shape::Shape;

/// Arguments of `load`.
#[derive(Clone, Debug, Args)]
pub struct LoadArguments {
    /// Address of a gateway; with several, each request goes to a random one.
    #[arg(long = "gateway", value_name = "ADDRESS", required = true)]
    pub gateways: Vec<SocketAddr>,
    /// Service to send to; several share the rate.
    #[arg(long = "service", value_name = "NAME", required = true, value_parser = read_service)]
    pub services: Vec<ServiceName>,
    /// Mean rate of all services together, in requests per second.
    #[arg(long = "rate", value_name = "PER_S", default_value_t = 100)]
    pub rate_per_s: u32,
    /// How the demand rises and falls.
    #[arg(long, value_enum, default_value = "flat")]
    pub shape: Shape,
    /// Length of one turn of the shape, in seconds.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..))]
    pub turn_s: u64,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub duration_s: u64,
    /// Share of the requests that are POST and so not idempotent, in percent.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(..=100))]
    pub post_percent: u32,
    /// Share of the POST requests that carry an idempotency key, in percent.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(..=100))]
    pub key_percent: u32,
    /// Deadline that each request carries, in milliseconds.
    #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub deadline_ms: u64,
    /// Size of the body of a POST request, in bytes.
    #[arg(long, default_value_t = 100)]
    pub body_bytes: usize,
    /// Maximum number of concurrent requests; each takes a thread.
    #[arg(long, default_value_t = 256, value_parser = clap::value_parser!(u64).range(1..=4_096))]
    pub senders: u64,
    /// Seed of the schedule.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

fn read_service(text: &str) -> Result<ServiceName, String> {
    ServiceName::try_from(text).map_err(|error| error.to_string())
}
