use super::draft_endpoint::DraftEndpoint;
use crate::document::Document;
use crate::document::Field;
use crate::document::NAME_EXPECTED;
use crate::document::Node;
use crate::document::ValueReader;
use crate::finding::Findings;
use crate::name::AvailabilityZone;
use crate::name::TemplateName;
use crate::name::WorkspaceName;

/// A workspace as far as it could be read, not yet held against its template.
#[derive(Clone, Debug)]
pub(super) struct Draft {
    /// Name of the workspace.
    pub(super) name: Option<WorkspaceName>,
    /// Template that it fills in.
    pub(super) template: Option<TemplateName>,
    /// Availability zones that it spans.
    pub(super) availability_zones: Option<Vec<AvailabilityZone>>,
    /// Endpoints that could be read.
    pub(super) endpoints: Vec<DraftEndpoint>,
    /// Whether all endpoints could be read.
    pub(super) is_whole: bool,
    root: Node,
}

impl Draft {
    /// Reads a workspace; what is wrong is recorded.
    pub(super) fn read(document: &Document, findings: &mut Findings) -> Self {
        let mut draft = Self {
            name: None,
            template: None,
            availability_zones: None,
            endpoints: Vec::new(),
            is_whole: false,
            root: document.root().clone(),
        };
        ValueReader::new(document.root(), findings).object(|reader| {
            draft.name = reader.name("workspace");
            draft.template = reader.name("template");
            if let Some(value) = reader.optional("parameters") {
                value.entries(|_, _| Some(()));
            }
            draft.availability_zones =
                reader.list("availability_zones", |zone| zone.checked(NAME_EXPECTED));
            let entries = reader.list("endpoints", |value| {
                let endpoint = DraftEndpoint::read(value);
                draft.endpoints.extend(endpoint.clone());
                endpoint
            });
            draft.is_whole = entries.is_some();
            Some(())
        });
        draft
    }

    /// Values for the template's parameters.
    pub(super) fn parameters(&self) -> &[Field] {
        self.root.field("parameters").map_or(&[], Node::fields)
    }

    /// The node of a field, or of the whole where the field is missing.
    pub(super) fn field(&self, name: &str) -> &Node {
        self.root.field(name).unwrap_or(&self.root)
    }
}
