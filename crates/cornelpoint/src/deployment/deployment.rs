use std::error::Error;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::document::Document;
use crate::document::Source;
use crate::finding::Findings;
use crate::workspace;

/// One of the two deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// Fűtőpálya in hu-central: five services in four availability zones.
    Futopalya,
    /// Kandy Greens in lk-west: four desk services and a ledger in three availability zones.
    Kandy,
}

impl Deployment {
    /// All deployments.
    pub const ALL: [Self; 2] = [Self::Futopalya, Self::Kandy];

    /// Returns the deployment's name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Futopalya => "futopalya",
            Self::Kandy => "kandy",
        }
    }

    /// Returns the deployment's template.
    #[must_use]
    pub fn template(self) -> Source<'static> {
        match self {
            Self::Futopalya => Source {
                file: "examples/futopalya.template.json",
                text: include_str!("../../../../examples/futopalya.template.json"),
            },
            Self::Kandy => Source {
                file: "examples/kandy.template.json",
                text: include_str!("../../../../examples/kandy.template.json"),
            },
        }
    }

    /// Returns the deployment's workspace, with the addresses of the example.
    #[must_use]
    pub fn workspace(self) -> Source<'static> {
        match self {
            Self::Futopalya => Source {
                file: "examples/hu-central.workspace.json",
                text: include_str!("../../../../examples/hu-central.workspace.json"),
            },
            Self::Kandy => Source {
                file: "examples/lk-west.workspace.json",
                text: include_str!("../../../../examples/lk-west.workspace.json"),
            },
        }
    }

    /// Returns the deployment's configuration, with the addresses of the example.
    ///
    /// # Errors
    ///
    /// All findings in the template and the workspace.
    pub fn configuration(self) -> Result<Configuration, Findings> {
        workspace::check(self.template(), self.workspace())
    }

    /// Returns the text of the deployment's workspace, with the given addresses
    /// in place of the example's.
    ///
    /// The first address goes to the first endpoint of the first pool, and so
    /// on in the order of [`Deployment::configuration`]. Endpoints without a
    /// given address keep the address of the example.
    ///
    /// # Errors
    ///
    /// One finding, if the workspace is not JSON with comments.
    ///
    /// ```
    /// use cornelpoint::deployment::Deployment;
    ///
    /// let text = Deployment::Kandy.workspace_text(&["127.0.0.1:7001".parse().unwrap()]).unwrap();
    /// assert!(text.contains("127.0.0.1:7001"));
    /// ```
    pub fn workspace_text(self, addresses: &[SocketAddr]) -> Result<String, Findings> {
        let source = self.workspace();
        let document = Document::parse(source)?;
        let endpoints = document.root().field("endpoints");
        let entries = endpoints.map_or(&[][..], |node| node.elements());
        let mut text = String::with_capacity(source.text.len());
        let mut copied_bytes = 0;
        for (entry, address) in entries.iter().zip(addresses) {
            let Some(node) = entry.field("address") else {
                continue;
            };
            text.push_str(&source.text[copied_bytes..node.start_bytes]);
            text.push('"');
            text.push_str(&address.to_string());
            text.push('"');
            copied_bytes = node.end_bytes;
        }
        text.push_str(&source.text[copied_bytes..]);
        Ok(text)
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Error for a name that is not the name of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownDeployment {
    /// The name found.
    pub found: String,
}

impl fmt::Display for UnknownDeployment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "expected futopalya or kandy, found `{}`",
            self.found.escape_default()
        )
    }
}

impl Error for UnknownDeployment {}

impl TryFrom<&str> for Deployment {
    type Error = UnknownDeployment;

    fn try_from(text: &str) -> Result<Self, UnknownDeployment> {
        let mut deployments = Self::ALL.into_iter();
        deployments
            .find(|deployment| deployment.as_str() == text)
            .ok_or_else(|| UnknownDeployment {
                found: text.to_owned(),
            })
    }
}
