use std::net::SocketAddr;

use clap::Args;

/// Argument that names the keeper.
#[derive(Clone, Debug, Args)]
pub struct KeeperArguments {
    /// Address of a keeper; defaults to the environment variable `CORNELPOINT_KEEPER`.
    #[arg(long, value_name = "ADDRESS")]
    pub keeper: Option<SocketAddr>,
}

/// Arguments of a change to a workspace: operator, reason and expected generation.
#[derive(Clone, Debug, Args)]
pub struct ChangeArguments {
    /// Reason, stored in the history.
    #[arg(long, value_name = "TEXT")]
    pub why: String,
    /// Operator, stored in the history; defaults to `CORNELPOINT_OPERATOR`, then `USER`.
    #[arg(long, value_name = "NAME")]
    pub who: Option<String>,
    /// Generation that you saw, by default the newest; if another one is in force, it is a conflict.
    #[arg(long, value_name = "GENERATION")]
    pub seen: Option<u64>,
    /// Token of an earlier attempt whose outcome is unknown; requires `--seen`.
    #[arg(long, value_name = "TOKEN", requires = "seen")]
    pub token: Option<String>,
}
