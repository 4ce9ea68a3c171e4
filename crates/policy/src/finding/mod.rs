//! Validation findings, collected with their places and reported together.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// One problem in an input.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Finding {
    /// Location of the problem: a JSON path, a flag or an environment variable.
    pub place: String,
    /// What is wrong, and which value is expected.
    pub problem: String,
}

/// All findings about one input.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct FindingList {
    findings: Vec<Finding>,
}

impl FindingList {
    /// Adds a finding.
    pub fn add(&mut self, place: impl Into<String>, problem: impl Into<String>) {
        self.findings.push(Finding { place: place.into(), problem: problem.into() });
    }

    /// Appends the findings of another list.
    pub fn extend(&mut self, other: FindingList) {
        self.findings.extend(other.findings);
    }

    /// Returns `true` if the list has no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings in insertion order.
    pub fn into_findings(self) -> Vec<Finding> {
        self.findings
    }

    /// Returns `value` if the list is empty.
    ///
    /// # Errors
    ///
    /// Returns the list itself if it has findings.
    pub fn into_result<T>(self, value: T) -> Result<T, FindingList> {
        match self.is_empty() {
            true => Ok(value),
            false => Err(self),
        }
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{}: {}", finding.place, finding.problem)?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}
