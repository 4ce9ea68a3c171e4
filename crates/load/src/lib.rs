//! Load and experiment tool.
//!
//! [`run_load`] sends a seeded open-loop load and checks every answer; [`RunReport`] holds what
//! was measured; [`compare_reports`] sets two reports side by side. [`run_command`] is the command line.

mod arrival;
mod caller;
mod check;
mod command;
mod compare;
mod deployment;
mod metrics;
mod plot;
mod process;
mod report;
mod runner;
mod tally;

pub use arrival::ArrivalPlan;
pub use arrival::ArrivalSettings;
pub use arrival::PlannedRequest;
pub use caller::AddressBook;
pub use caller::CallFailure;
pub use caller::CallReply;
pub use caller::TierCaller;
pub use check::AnswerCheck;
pub use check::AnswerFault;
pub use command::ExitStatus;
pub use command::run_command;
pub use compare::CompareBounds;
pub use compare::ComparisonRow;
pub use compare::ComparisonTable;
pub use compare::compare_reports;
pub use deployment::ClassShare;
pub use deployment::DeploymentName;
pub use metrics::LoadCounters;
pub use metrics::MetricsError;
pub use plot::draw_comparison;
pub use plot::draw_percentiles;
pub use process::ProcessUsage;
pub use report::ClassReport;
pub use report::ContractCheck;
pub use report::ContractMeasure;
pub use report::CoverageSummary;
pub use report::CustomerReport;
pub use report::ExtraLoad;
pub use report::LatencySummary;
pub use report::OutcomeCounts;
pub use report::PercentilePoint;
pub use report::REPORT_VERSION;
pub use report::RunReport;
pub use report::render_summary;
pub use runner::RunSettings;
pub use runner::run_load;
pub use tally::ClassTally;
pub use tally::RequestSample;
