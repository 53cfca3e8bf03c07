use std::net::SocketAddr;

use clap::Args;

/// The keeper to ask.
#[derive(Clone, Debug, Args)]
pub struct KeeperArguments {
    /// Address of a keeper; without it the environment variable `CORNELPOINT_KEEPER` counts.
    #[arg(long, value_name = "ADDRESS")]
    pub keeper: Option<SocketAddr>,
}

/// Who changes a workspace, why, and from what.
#[derive(Clone, Debug, Args)]
pub struct ChangeArguments {
    /// Reason, kept in the history.
    #[arg(long, value_name = "TEXT")]
    pub why: String,
    /// Operator, kept in the history; without it `CORNELPOINT_OPERATOR` or `USER` counts.
    #[arg(long, value_name = "NAME")]
    pub who: Option<String>,
    /// Generation that you saw; without it the newest one.
    #[arg(long, value_name = "GENERATION")]
    pub seen: Option<u64>,
    /// Token of an earlier try whose fate is unknown; together with `--seen`.
    #[arg(long, value_name = "TOKEN", requires = "seen")]
    pub token: Option<String>,
}
