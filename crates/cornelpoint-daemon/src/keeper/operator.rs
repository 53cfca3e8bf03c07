use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Generation;
use cornelpoint::configuration::Head;
use cornelpoint::configuration::body_key;
use cornelpoint::configuration::head_key;
use cornelpoint::name::InstanceId;
use cornelpoint::name::WorkspaceName;
use cornelpoint::platform::Condition;
use cornelpoint::platform::Row;
use cornelpoint::platform::Transaction;
use cornelpoint::platform::TransactionOutcome;
use cornelpoint::platform::Write;
use cornelpoint::spread::Update;
use rouille::Request;
use rouille::Response;
use serde::Deserialize;
use serde::Serialize;

use super::command::Command;
use super::core_handle::CoreHandle;
use super::routes::drain_report;
use crate::control::json_body;
use crate::control::json_reply;
use crate::control::text_reply;
use crate::platform_client::PlatformClient;
use crate::platform_client::PlatformError;

/// An operator accepts a configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcceptRequest {
    /// The configuration; its generation is the one that the operator saw.
    pub configuration: Configuration,
    /// Mark of this accept; a repeat with the same mark does nothing.
    pub token: String,
}

/// What became of an accept.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcceptReply {
    /// The generation now in force.
    pub generation: Generation,
}

/// An operator drains or brings back an endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DrainRequest {
    /// The endpoint.
    pub instance: InstanceId,
}

/// The operators' actions at a keeper.
#[derive(Clone, Debug)]
pub(super) struct Operator {
    core: CoreHandle,
    platform: PlatformClient,
    workspace: WorkspaceName,
}

impl Operator {
    pub(super) fn new(
        core: CoreHandle,
        platform: PlatformClient,
        workspace: WorkspaceName,
    ) -> Self {
        Self {
            core,
            platform,
            workspace,
        }
    }

    pub(super) fn answer(&self, method: &str, path: &str, request: &Request) -> Response {
        match (method, path) {
            ("POST", "/operator/accept") => self.accept(request),
            ("POST", "/operator/drain") => self.mark(request, false),
            ("POST", "/operator/undrain") => self.mark(request, true),
            ("POST", "/operator/drained") => self.drained(request),
            ("GET", "/operator/status") => match self.core.ask(Command::Status) {
                Some(status) => json_reply(&status),
                None => text_reply(503, "the state does not answer"),
            },
            _ => text_reply(404, &format!("no action for {method} {path}")),
        }
    }

    fn accept(&self, request: &Request) -> Response {
        let accept: AcceptRequest = match json_body(request) {
            Ok(accept) => accept,
            Err(error) => return text_reply(400, &error.to_string()),
        };
        if accept.configuration.workspace != self.workspace {
            let text = format!("expected workspace {}", self.workspace);
            return text_reply(400, &text);
        }
        match self.try_accept(&accept) {
            Ok(Some(generation)) => json_reply(&AcceptReply { generation }),
            Ok(None) => text_reply(409, "the generation seen is no longer the newest"),
            Err(error) => text_reply(503, &error.to_string()),
        }
    }

    fn try_accept(&self, accept: &AcceptRequest) -> Result<Option<Generation>, PlatformError> {
        let rows = self.platform.read(&[head_key(&self.workspace)])?;
        let row = rows.first();
        let head: Option<Head> = row.and_then(|row| rmp_serde::from_slice(&row.value).ok());
        if let Some(head) = head.as_ref().filter(|head| head.token == accept.token) {
            return Ok(Some(head.generation));
        }
        let newest = head.map_or(Generation(0), |head| head.generation);
        if newest != accept.configuration.generation {
            return Ok(None);
        }
        let mut configuration = accept.configuration.clone();
        configuration.generation = newest.next();
        let transaction = self.transaction(row, &configuration, &accept.token);
        match self.platform.transact(&transaction)? {
            TransactionOutcome::Committed => {
                let generation = configuration.generation;
                self.core.tell(Command::Apply(Update {
                    configuration: Some(configuration),
                    marks: Vec::new(),
                }));
                Ok(Some(generation))
            }
            TransactionOutcome::Conflict { .. } => Ok(None),
        }
    }

    fn transaction(
        &self,
        row: Option<&Row>,
        configuration: &Configuration,
        token: &str,
    ) -> Transaction {
        let key = head_key(&self.workspace);
        let condition = match row {
            Some(row) => Condition::Version {
                key: key.clone(),
                version: row.version,
            },
            None => Condition::Absent { key: key.clone() },
        };
        let head = Head {
            generation: configuration.generation,
            token: token.to_owned(),
        };
        Transaction {
            conditions: vec![condition],
            writes: vec![
                put(key, &head),
                put(
                    body_key(&self.workspace, configuration.generation),
                    configuration,
                ),
            ],
        }
    }

    fn mark(&self, request: &Request, accepts_work: bool) -> Response {
        let drain: DrainRequest = match json_body(request) {
            Ok(drain) => drain,
            Err(error) => return text_reply(400, &error.to_string()),
        };
        match self
            .core
            .ask(|to| Command::Mark(drain.instance, accepts_work, to))
        {
            Some(mark) => json_reply(&mark),
            None => text_reply(503, "the state does not answer"),
        }
    }

    fn drained(&self, request: &Request) -> Response {
        let drain: DrainRequest = match json_body(request) {
            Ok(drain) => drain,
            Err(error) => return text_reply(400, &error.to_string()),
        };
        match drain_report(&self.core, &drain.instance) {
            Some(report) => json_reply(&report),
            None => text_reply(503, "no keeper of the endpoint's zone answers"),
        }
    }
}

fn put<V: Serialize>(key: cornelpoint::platform::Key, value: &V) -> Write {
    Write::Put {
        key,
        value: rmp_serde::to_vec_named(value).unwrap_or_default(),
    }
}
