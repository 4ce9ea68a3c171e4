//! Fingerprints by which copies of one request are recognised.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;

use crate::FindingList;

/// Length of a fingerprint, in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// Fingerprint of what a request asks for; all VMs compute the same.
///
/// It is the first half of a SHA-256 hash, so that no caller can build a request that has the fingerprint of
/// another caller's.
///
/// # Examples
///
/// ```
/// use oleanderwind_policy::WorkFingerprint;
///
/// let work = WorkFingerprint::of(&[b"GET", b"/a", b""]);
/// assert_eq!(work, WorkFingerprint::of(&[b"GET", b"/a", b""]));
/// assert_ne!(work, WorkFingerprint::of(&[b"GET", b"/", b"a"]), "the parts are delimited");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkFingerprint([u8; FINGERPRINT_BYTES]);

impl WorkFingerprint {
    /// Returns the fingerprint of a request with these parts, in this order.
    pub fn of(parts: &[&[u8]]) -> WorkFingerprint {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..FINGERPRINT_BYTES]);
        WorkFingerprint(bytes)
    }

    /// Returns the bytes of the fingerprint.
    pub fn as_bytes(&self) -> &[u8; FINGERPRINT_BYTES] {
        &self.0
    }
}

impl From<[u8; FINGERPRINT_BYTES]> for WorkFingerprint {
    fn from(bytes: [u8; FINGERPRINT_BYTES]) -> WorkFingerprint {
        WorkFingerprint(bytes)
    }
}

impl TryFrom<&str> for WorkFingerprint {
    type Error = FindingList;

    /// Parses 32 hexadecimal digits.
    fn try_from(text: &str) -> Result<WorkFingerprint, FindingList> {
        let mut findings = FindingList::default();
        let is_hex = text.len() == 2 * FINGERPRINT_BYTES && text.is_ascii();
        let number = is_hex.then(|| u128::from_str_radix(text, 16).ok()).flatten();
        if number.is_none() {
            findings.add("work", format!("is {text:?}; give 32 hexadecimal digits"));
        }
        findings.into_result(WorkFingerprint(number.unwrap_or_default().to_be_bytes()))
    }
}

impl fmt::Display for WorkFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
