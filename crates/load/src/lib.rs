//! Load generator and experiment tool.
//!
//! [`run_load`] sends a seeded open-loop load and checks every answer. [`RunReport`] holds the
//! measurements of a run, and [`compare_reports`] compares two reports. [`run_command`] is the
//! command line.

mod arrival;
mod caller;
mod check;
mod command;
mod compare;
mod demo;
mod deployment;
mod experiment;
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
pub use demo::DemoSettings;
pub use demo::run_demo;
pub use deployment::ClassShare;
pub use deployment::DeploymentName;
pub use experiment::ChildProgram;
pub use experiment::ControlCall;
pub use experiment::ExperimentPlan;
pub use experiment::ExperimentReport;
pub use experiment::ExperimentScenario;
pub use experiment::ExperimentVariant;
pub use experiment::FaultSpan;
pub use experiment::PlannedTrial;
pub use experiment::ProgramPaths;
pub use experiment::ScenarioName;
pub use experiment::TrialResult;
pub use experiment::builtin_variant;
pub use experiment::render_experiment;
pub use experiment::render_objectives;
pub use experiment::run_experiment;
pub use experiment::variant_names;
pub use metrics::LoadCounters;
pub use metrics::MetricsError;
pub use plot::draw_comparison;
pub use plot::draw_experiment;
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
pub use report::SecondReport;
pub use report::render_summary;
pub use runner::RunSettings;
pub use runner::run_load;
pub use tally::ClassTally;
pub use tally::RequestSample;
