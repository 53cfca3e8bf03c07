use clap::Args;
use cornelpoint::deployment::Deployment;

/// Arguments of `demo`.
#[derive(Clone, Copy, Debug, Args)]
pub struct DemoArguments {
    /// Deployment whose size and configuration are used: futopalya or kandy.
    #[arg(long, default_value = "futopalya", value_parser = read_deployment)]
    pub deployment: Deployment,
    /// Print the checks as JSON.
    #[arg(long)]
    pub json: bool,
    /// Write the daemons' logs to standard error.
    #[arg(long)]
    pub logs: bool,
    /// Seed of the traffic.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

fn read_deployment(text: &str) -> Result<Deployment, String> {
    Deployment::try_from(text).map_err(|error| error.to_string())
}
