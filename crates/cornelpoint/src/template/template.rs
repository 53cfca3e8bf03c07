use super::parameter::Parameter;
use crate::name::TemplateName;

/// A checked template, with the parameters that its workspaces set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template {
    /// Name of the template.
    pub name: TemplateName,
    /// Parameters that a workspace may or must set.
    pub parameters: Vec<Parameter>,
}
