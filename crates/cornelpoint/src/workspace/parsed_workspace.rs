use super::parsed_endpoint::ParsedEndpoint;
use crate::document::Document;
use crate::document::Field;
use crate::document::NAME_EXPECTED;
use crate::document::Node;
use crate::document::ValueReader;
use crate::finding::Findings;
use crate::name::AvailabilityZone;
use crate::name::TemplateName;
use crate::name::WorkspaceName;

/// A workspace as far as it could be read, not yet checked against its template.
#[derive(Clone, Debug)]
pub(super) struct ParsedWorkspace {
    /// Name of the workspace.
    pub(super) name: Option<WorkspaceName>,
    /// Template that the workspace uses.
    pub(super) template: Option<TemplateName>,
    /// Availability zones of the workspace.
    pub(super) availability_zones: Option<Vec<AvailabilityZone>>,
    /// Endpoints that could be read.
    pub(super) endpoints: Vec<ParsedEndpoint>,
    /// Whether all endpoints could be read.
    pub(super) all_endpoints_parsed: bool,
    root: Node,
}

impl ParsedWorkspace {
    /// Reads a workspace; records errors as findings.
    pub(super) fn read(document: &Document, findings: &mut Findings) -> Self {
        let mut parsed_workspace = Self {
            name: None,
            template: None,
            availability_zones: None,
            endpoints: Vec::new(),
            all_endpoints_parsed: false,
            root: document.root().clone(),
        };
        ValueReader::new(document.root(), findings).object(|reader| {
            parsed_workspace.name = reader.name("workspace");
            parsed_workspace.template = reader.name("template");
            if let Some(value) = reader.optional("parameters") {
                value.entries(|_, _| Some(()));
            }
            parsed_workspace.availability_zones =
                reader.list("availability_zones", |zone| zone.checked(NAME_EXPECTED));
            let entries = reader.list("endpoints", |value| {
                let endpoint = ParsedEndpoint::read(value);
                parsed_workspace.endpoints.extend(endpoint.clone());
                endpoint
            });
            parsed_workspace.all_endpoints_parsed = entries.is_some();
            Some(())
        });
        parsed_workspace
    }

    /// Returns the values for the template's parameters.
    pub(super) fn parameters(&self) -> &[Field] {
        self.root.field("parameters").map_or(&[], Node::fields)
    }

    /// Returns the node of a field, or of the whole workspace if the field is missing.
    pub(super) fn field(&self, name: &str) -> &Node {
        self.root.field(name).unwrap_or(&self.root)
    }
}
