//! Experiments that compare variants of the daemon's environment under the same scenarios and load.

mod builtin;
mod fleet;
mod objectives;
mod plan;
mod program;
mod scenario;
mod table;
mod trial;

pub use builtin::ScenarioName;
pub use builtin::builtin_variant;
pub use builtin::variant_names;
pub use objectives::render_objectives;
pub use plan::ExperimentPlan;
pub use plan::ExperimentVariant;
pub use plan::PlannedTrial;
pub use program::ChildProgram;
pub use scenario::ControlCall;
pub use scenario::ExperimentScenario;
pub use scenario::FaultSpan;
pub use table::ExperimentReport;
pub use table::TrialResult;
pub(crate) use table::class_groups;
pub use table::render_experiment;
pub use trial::ProgramPaths;
pub use trial::run_experiment;
