use super::answer_check;
use super::call_groups::CallGroups;
use super::endpoint_check;
use super::history_record::History;
use super::limits::Limits;
use super::run_check;
use super::violation::Violation;

/// Returns all violations found in a history.
///
/// ```
/// use cornelpoint_standin::history::History;
/// use cornelpoint_standin::history::Limits;
/// use cornelpoint_standin::history::check;
///
/// assert_eq!(check(&History::default(), Limits::default()), []);
/// ```
#[must_use]
pub fn check(history: &History, limits: Limits) -> Vec<Violation> {
    let groups = CallGroups::new(history);
    let mut violations = Vec::new();
    for (name, group) in &groups.groups {
        violations.extend(run_check::ran_more_than_once(name, group));
        violations.extend(run_check::refused_but_ran(group, limits));
        violations.extend(run_check::never_ended(group));
        violations.extend(run_check::cut_by_planned_stop(history, group));
        violations.extend(answer_check::without_run(group, limits));
        violations.extend(answer_check::wrong_answers(group));
        violations.extend(answer_check::answers_differ(name, group));
    }
    violations.extend(endpoint_check::over_limits(history, limits));
    violations.extend(endpoint_check::work_while_leaving(history, limits));
    violations.extend(endpoint_check::generation_regressions(history));
    violations
}
