use super::filled::FilledService;
use crate::configuration::Service;
use crate::document::NAME_EXPECTED;
use crate::document::Node;
use crate::document::ObjectReader;
use crate::document::ValueReader;
use crate::finding::Findings;
use crate::name::ServiceName;
use crate::request::Method;

/// Longest allowed deadline, in milliseconds: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Largest allowed limit for the body of a request or an answer, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Largest allowed limit for the number of requests waiting at one gateway.
const MAX_QUEUE_LIMIT: u32 = 100_000;

/// Largest allowed limit for the bodies waiting at one gateway, in bytes.
const MAX_QUEUE_LIMIT_BYTES: u64 = 1024 * 1024 * 1024;

/// Largest allowed limit for retries, in percent of first attempts.
const MAX_RETRY_PERCENT: u32 = 100;

/// Largest peak demand that may be declared, in requests per second.
const MAX_PEAK_PER_S: u32 = 10_000_000;

/// Limit for retries, in percent of first attempts, if the template sets none.
const DEFAULT_RETRY_PERCENT: u32 = 10;

const METHODS: [(&str, Method); 6] = [
    ("DELETE", Method::Delete),
    ("GET", Method::Get),
    ("HEAD", Method::Head),
    ("PATCH", Method::Patch),
    ("POST", Method::Post),
    ("PUT", Method::Put),
];

/// Reads a service's entry.
pub(super) fn read(name: &str, node: &Node, findings: &mut Findings) -> Option<FilledService> {
    let service_name = ServiceName::try_from(name).ok();
    if service_name.is_none() {
        findings.push(node.finding(NAME_EXPECTED, format!("`{}`", name.escape_default())));
    }
    let service =
        ValueReader::new(node, findings).object(|reader| read_service(service_name, reader))?;
    Some(FilledService {
        service,
        node: node.clone(),
    })
}

fn read_service(name: Option<ServiceName>, reader: &mut ObjectReader<'_>) -> Option<Service> {
    let pool = reader.name("pool");
    let deadline_ms = reader.integer("deadline_ms", 1..=MAX_DEADLINE_MS);
    let max_deadline_ms = reader.integer("max_deadline_ms", 1..=MAX_DEADLINE_MS);
    let max_body_bytes = reader.integer("max_body_bytes", 0..=MAX_BODY_BYTES);
    let max_answer_bytes = reader.integer("max_answer_bytes", 0..=MAX_BODY_BYTES);
    let queue_limit = reader.integer_u32("queue_limit", 1..=MAX_QUEUE_LIMIT);
    let queue_limit_bytes = reader.integer("queue_limit_bytes", 1..=MAX_QUEUE_LIMIT_BYTES);
    let retry_percent = reader.integer_u32_or(
        "retry_percent",
        0..=MAX_RETRY_PERCENT,
        DEFAULT_RETRY_PERCENT,
    );
    let idempotent_methods = read_methods(reader);
    let availability_budget_percent = reader.integer_u32("availability_budget_percent", 1..=100);
    let declared_peak_per_s = reader.integer_u32("declared_peak_per_s", 1..=MAX_PEAK_PER_S);
    check_upper_limit(reader, deadline_ms, "max_deadline_ms", max_deadline_ms);
    check_upper_limit(
        reader,
        max_body_bytes,
        "queue_limit_bytes",
        queue_limit_bytes,
    );
    Some(Service {
        name: name?,
        pool: pool?,
        deadline_ms: deadline_ms?,
        max_deadline_ms: max_deadline_ms?,
        max_body_bytes: max_body_bytes?,
        max_answer_bytes: max_answer_bytes?,
        queue_limit: queue_limit?,
        queue_limit_bytes: queue_limit_bytes?,
        retry_percent: retry_percent?,
        idempotent_methods: idempotent_methods?,
        availability_budget_percent: availability_budget_percent?,
        declared_peak_per_s: declared_peak_per_s?,
    })
}

fn read_methods(reader: &mut ObjectReader<'_>) -> Option<Vec<Method>> {
    match reader.optional("idempotent_methods") {
        Some(value) => value.list(|method| method.choice(&METHODS)),
        None => Some(default_methods()),
    }
}

/// Returns the methods that HTTP defines as idempotent.
fn default_methods() -> Vec<Method> {
    let methods = METHODS.iter().map(|(_, method)| *method);
    methods.filter(|method| method.is_idempotent()).collect()
}

/// Records a finding if an upper limit is below a value that it must allow.
fn check_upper_limit(
    reader: &mut ObjectReader<'_>,
    least: Option<u64>,
    limit_name: &str,
    limit: Option<u64>,
) {
    let (Some(least), Some(limit)) = (least, limit) else {
        return;
    };
    if limit < least {
        let node = reader.node().field(limit_name).unwrap_or(reader.node());
        let finding = node.finding(format!("at least {least}"), limit.to_string());
        reader.findings().push(finding);
    }
}
