use serde::Deserialize;
use serde::Serialize;

use super::generation::Generation;
use crate::name::WorkspaceName;
use crate::platform::Key;

/// Table that holds accepted configurations.
pub const TABLE: &str = "configuration";

/// The newest accepted configuration of a workspace, in the head row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Generation of the newest configuration.
    pub generation: Generation,
    /// Mark of the accept that made it, to know a lost answer's fate.
    pub token: String,
}

/// Place of a workspace's head row.
#[must_use]
pub fn head_key(workspace: &WorkspaceName) -> Key {
    Key {
        table: TABLE.to_owned(),
        row: format!("head/{workspace}"),
    }
}

/// Place of the row that holds one generation's content.
///
/// ```
/// use cornelpoint::configuration::Generation;
/// use cornelpoint::configuration::body_key;
/// use cornelpoint::name::WorkspaceName;
///
/// let workspace = WorkspaceName::try_from("hu-central").unwrap();
/// let key = body_key(&workspace, Generation(7));
/// assert_eq!(key.row, "body/hu-central/00000000000000000007");
/// ```
#[must_use]
pub fn body_key(workspace: &WorkspaceName, generation: Generation) -> Key {
    Key {
        table: TABLE.to_owned(),
        row: format!("body/{workspace}/{:020}", generation.0),
    }
}
