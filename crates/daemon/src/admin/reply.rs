//! Reports on edits.

use actix_http::StatusCode;
use oleanderwind_http::HttpReply;
use oleanderwind_policy::FindingList;
use oleanderwind_wire::EditReport;
use oleanderwind_wire::EditVerdict;

/// A report that says no more than its verdict.
pub(crate) fn plain_report(verdict: EditVerdict, advice: impl Into<String>) -> EditReport {
    EditReport {
        verdict,
        revision: None,
        token: String::new(),
        findings: Vec::new(),
        current: None,
        differences: Vec::new(),
        advice: advice.into(),
    }
}

/// A report on a contract with findings.
pub(crate) fn invalid_report(findings: FindingList) -> EditReport {
    let mut report = plain_report(EditVerdict::Invalid, "mend every finding and send it again");
    report.findings = findings.into_findings();
    report
}

/// Writes a report with the status that goes with its verdict.
pub(crate) fn report_reply(report: &EditReport) -> HttpReply {
    let status = match report.verdict {
        EditVerdict::Accepted | EditVerdict::Valid => StatusCode::OK,
        EditVerdict::Conflict => StatusCode::CONFLICT,
        EditVerdict::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
        EditVerdict::NotWritten => StatusCode::SERVICE_UNAVAILABLE,
        EditVerdict::Unknown => StatusCode::GATEWAY_TIMEOUT,
    };
    HttpReply::json(status, report)
}
