use std::net::SocketAddr;
use std::path::PathBuf;

use clap_complete::Shell;
use cornelpoint::configuration::AcceptToken;
use cornelpoint::configuration::Generation;
use cornelpoint_daemon::keeper::MarkRequest;

use crate::command_line::FileArguments;

/// One thing to do, with all that it needs.
#[derive(Clone, Debug)]
pub enum Action {
    /// Check a template.
    CheckTemplate {
        /// The template.
        file: PathBuf,
    },
    /// Check a template and a workspace.
    CheckWorkspace {
        /// The files.
        files: FileArguments,
    },
    /// Compare the files with what is in force.
    Diff {
        /// The files.
        files: FileArguments,
        /// The keeper to ask.
        keeper: SocketAddr,
    },
    /// Bring a new generation into force.
    Accept {
        /// What it holds.
        source: AcceptSource,
        /// Who, why, from what.
        change: ChangeSettings,
        /// The keeper to ask.
        keeper: SocketAddr,
    },
    /// List who accepted what.
    History {
        /// The keeper to ask.
        keeper: SocketAddr,
    },
    /// Show what is in force where.
    Status {
        /// The keeper to ask first.
        keeper: SocketAddr,
    },
    /// Print all that a process knows.
    Dump {
        /// The process.
        process: SocketAddr,
    },
    /// Drain an endpoint, or bring it back.
    Mark {
        /// The endpoint, who, why, from what.
        request: MarkRequest,
        /// Whether it is to take new work.
        accepts_work: bool,
        /// The keeper to ask.
        keeper: SocketAddr,
    },
    /// Print completions.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Nothing: the demo and the load have their own way of running.
    Demo,
}

/// What a new generation holds.
#[derive(Clone, Debug)]
pub enum AcceptSource {
    /// A template and a workspace.
    Files(FileArguments),
    /// An earlier generation.
    Generation(Generation),
}

/// Who changes a workspace, why, and from what.
#[derive(Clone, Debug)]
pub struct ChangeSettings {
    /// Operator.
    pub who: String,
    /// Reason.
    pub why: String,
    /// Generation that the operator saw; `None` for the newest.
    pub seen: Option<Generation>,
    /// Mark of the accept.
    pub token: AcceptToken,
}
