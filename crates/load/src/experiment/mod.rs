//! Experiments: named variants of the daemon's environment under the same load, in turns.

mod plan;
mod program;
mod table;
mod trial;

pub use plan::ControlCall;
pub use plan::ExperimentPlan;
pub use plan::ExperimentScenario;
pub use plan::ExperimentVariant;
pub use plan::TrialStep;
pub use program::ChildProgram;
pub use table::ExperimentReport;
pub use table::TrialResult;
pub(crate) use table::class_groups;
pub use table::render_experiment;
pub use trial::ProgramPaths;
pub use trial::run_experiment;
