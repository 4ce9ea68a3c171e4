//! The deployments that load can be sent to, and the request mix of each.

use std::str::FromStr;

use oleanderwind_policy::OperationKind;
use serde::Deserialize;
use serde::Serialize;

/// A class of requests and its share of a deployment's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassShare {
    /// Name of the class in the customer's contract.
    pub class: &'static str,
    /// Share of the deployment's requests, in percent.
    pub percent: u32,
    /// Kind of operation. `Execute` requests carry an idempotency key.
    pub operation: OperationKind,
}

/// Returns a class of searches.
const fn search(class: &'static str, percent: u32) -> ClassShare {
    ClassShare { class, percent, operation: OperationKind::Search }
}

/// Returns a class of non-idempotent requests.
const fn execute(class: &'static str, percent: u32) -> ClassShare {
    ClassShare { class, percent, operation: OperationKind::Execute }
}

/// Request mix of the deployment `tsagaan`.
const TSAGAAN_CLASSES: &[ClassShare] = &[
    search("module-finder", 20),
    search("quick-lookup", 60),
    search("certificate-check", 8),
    execute("certificate-entry", 2),
    search("trainer-lookup", 10),
];

/// Request mix of the deployment `haneul`.
const HANEUL_CLASSES: &[ClassShare] = &[
    search("find-bed", 45),
    search("desk-balance", 25),
    search("counter-lookup", 12),
    execute("booking", 10),
    execute("redemption", 5),
    search("dividend", 3),
];

/// A deployment that the tool can send load to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DeploymentName {
    /// Customer `tsagaan-ordon`.
    Tsagaan,
    /// Customer `haneul`.
    Haneul,
}

impl DeploymentName {
    /// Returns the name used on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            DeploymentName::Tsagaan => "tsagaan",
            DeploymentName::Haneul => "haneul",
        }
    }

    /// Returns the customer whose contract applies to the load.
    pub fn customer(self) -> &'static str {
        match self {
            DeploymentName::Tsagaan => "tsagaan-ordon",
            DeploymentName::Haneul => "haneul",
        }
    }

    /// Returns the request mix. The shares add up to 100 percent.
    pub fn classes(self) -> &'static [ClassShare] {
        match self {
            DeploymentName::Tsagaan => TSAGAAN_CLASSES,
            DeploymentName::Haneul => HANEUL_CLASSES,
        }
    }

    /// Returns the class that covers percentile `point` (0 to 99) of the request mix.
    pub(crate) fn class_at(self, point: u32) -> ClassShare {
        let classes = self.classes();
        let mut offset = point;
        for share in classes {
            if offset < share.percent {
                return *share;
            }
            offset -= share.percent;
        }
        classes[0]
    }
}

impl FromStr for DeploymentName {
    type Err = String;

    fn from_str(text: &str) -> Result<DeploymentName, String> {
        match text {
            "tsagaan" => Ok(DeploymentName::Tsagaan),
            "haneul" => Ok(DeploymentName::Haneul),
            other => Err(format!("unknown deployment `{other}`; give tsagaan or haneul")),
        }
    }
}
