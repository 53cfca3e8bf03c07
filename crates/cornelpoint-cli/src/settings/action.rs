use std::net::SocketAddr;
use std::path::PathBuf;

use clap_complete::Shell;
use cornelpoint::configuration::AcceptToken;
use cornelpoint::configuration::Generation;
use cornelpoint_daemon::keeper::MarkRequest;

use crate::command_line::FileArguments;

/// Action of a command, with its checked arguments.
#[derive(Clone, Debug)]
pub enum Action {
    /// Check a template.
    CheckTemplate {
        /// Template file.
        file: PathBuf,
    },
    /// Check a template and a workspace.
    CheckWorkspace {
        /// Files of the configuration.
        files: FileArguments,
    },
    /// Check a configuration of the manager.
    CheckConfiguration {
        /// File with the configuration.
        file: PathBuf,
        /// File with the configuration in force.
        against: Option<PathBuf>,
    },
    /// Compare the files with the newest accepted configuration.
    Diff {
        /// Files of the configuration.
        files: FileArguments,
        /// Keeper that receives the request.
        keeper: SocketAddr,
    },
    /// Accept a new generation.
    Accept {
        /// Source of its content.
        source: AcceptSource,
        /// Operator, reason and expected generation.
        change: ChangeSettings,
        /// Keeper that receives the request.
        keeper: SocketAddr,
    },
    /// List the accepted generations.
    History {
        /// Keeper that receives the request.
        keeper: SocketAddr,
    },
    /// Show the generation in force at each keeper and gateway.
    Status {
        /// Keeper that is queried first; it names the others.
        keeper: SocketAddr,
    },
    /// Print the internal state of a process.
    Dump {
        /// Address of the process.
        process: SocketAddr,
    },
    /// Drain or undrain an endpoint.
    Mark {
        /// Endpoint, operator, reason and expected epoch.
        request: MarkRequest,
        /// Whether the endpoint takes new work: true for undrain.
        accepts_work: bool,
        /// Keeper that receives the request.
        keeper: SocketAddr,
    },
    /// Print the completion script for a shell.
    Completions {
        /// Shell that the script is for.
        shell: Shell,
    },
    /// No action: the demo and the load generator are started before settings are checked.
    Demo,
}

/// Source of the content of a new generation.
#[derive(Clone, Debug)]
pub enum AcceptSource {
    /// A template and a workspace.
    Files(FileArguments),
    /// An earlier generation.
    Generation(Generation),
}

/// Checked arguments of a change to a workspace.
#[derive(Clone, Debug)]
pub struct ChangeSettings {
    /// Operator.
    pub who: String,
    /// Reason.
    pub why: String,
    /// Generation that the operator saw; `None` stands for the newest.
    pub seen: Option<Generation>,
    /// Token by which a repeated accept is recognised.
    pub token: AcceptToken,
}
