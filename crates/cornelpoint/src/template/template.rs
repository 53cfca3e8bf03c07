use super::parameter::Parameter;
use crate::name::TemplateName;

/// What a checked template asks of its workspaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template {
    /// Name of the template.
    pub name: TemplateName,
    /// Parameters that workspaces give.
    pub parameters: Vec<Parameter>,
}
