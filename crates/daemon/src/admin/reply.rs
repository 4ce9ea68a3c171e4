//! Reports on edits.

use actix_http::StatusCode;
use oleanderwind_http::HttpReply;
use oleanderwind_policy::FindingList;
use oleanderwind_wire::EditReport;
use oleanderwind_wire::EditVerdict;

/// Returns a report with only a verdict and advice.
pub(crate) fn report_without_details(
    verdict: EditVerdict,
    advice: impl Into<String>,
) -> EditReport {
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

/// Returns a report on an invalid contract, with its findings.
pub(crate) fn invalid_report(findings: FindingList) -> EditReport {
    let mut report =
        report_without_details(EditVerdict::Invalid, "mend every finding and send it again");
    report.findings = findings.into_findings();
    report
}

/// Returns a reply with the report and the HTTP status for its verdict.
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
