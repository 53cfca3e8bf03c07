use crate::configuration::Generation;
use crate::name::WorkspaceName;
use crate::platform::Key;

/// Table that holds configurations.
pub const CONFIGURATION_TABLE: &str = "configuration";

/// Returns the key of a workspace's head row.
///
/// ```
/// use cornelpoint::configuration::head_key;
/// use cornelpoint::name::WorkspaceName;
///
/// let workspace = WorkspaceName::try_from("hu-central").unwrap();
/// assert_eq!(head_key(&workspace).row, "head/hu-central");
/// ```
#[must_use]
pub fn head_key(workspace: &WorkspaceName) -> Key {
    key(format!("head/{workspace}"))
}

/// Returns the key of the row that holds a generation's configuration.
#[must_use]
pub fn body_key(workspace: &WorkspaceName, generation: Generation) -> Key {
    key(format!("body/{workspace}/{:020}", generation.0))
}

/// Returns the key of a generation's history row.
#[must_use]
pub fn history_key(workspace: &WorkspaceName, generation: Generation) -> Key {
    key(format!("{}{:020}", history_prefix(workspace), generation.0))
}

/// Returns the prefix of the names of a workspace's history rows.
#[must_use]
pub fn history_prefix(workspace: &WorkspaceName) -> String {
    format!("history/{workspace}/")
}

fn key(row: String) -> Key {
    Key {
        table: CONFIGURATION_TABLE.to_owned(),
        row,
    }
}
