//! Planned stop of a VM: how its time is divided, and which requests it still begins.

mod gate;
mod schedule;
mod work_time;

pub use gate::ShutdownGate;
pub use schedule::ShutdownSchedule;
