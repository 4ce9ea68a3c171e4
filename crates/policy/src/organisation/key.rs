//! Digests of organisations' keys.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::FindingList;

/// Length of a digest, in bytes.
const DIGEST_BYTES: usize = 32;
/// Prefix of what is hashed, so that the digest of a key is not that of the same bytes elsewhere.
const DIGEST_DOMAIN: &[u8] = b"oleanderwind organisation key\0";

/// Digest of a key; all VMs compute the same.
///
/// VMs hold, compare and exchange digests, so that no key is kept in a process or sent to a peer.
/// A lookup by digest takes the same time whatever a wrong key has in common with a right one.
///
/// # Examples
///
/// ```
/// use oleanderwind_policy::KeyDigest;
///
/// let digest = KeyDigest::of(b"3yswk9dwif3882p5wbr9");
/// assert_eq!(KeyDigest::try_from(digest.to_string().as_str()), Ok(digest));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key as a caller sends it.
    pub fn of(key: &[u8]) -> KeyDigest {
        let mut hash = Sha256::new();
        hash.update(DIGEST_DOMAIN);
        hash.update(key);
        KeyDigest(hash.finalize().into())
    }
}

impl TryFrom<&str> for KeyDigest {
    type Error = FindingList;

    /// Parses 64 hexadecimal digits.
    fn try_from(text: &str) -> Result<KeyDigest, FindingList> {
        let mut findings = FindingList::default();
        let mut bytes = [0; DIGEST_BYTES];
        let is_hex =
            text.len() == 2 * DIGEST_BYTES && text.bytes().all(|digit| digit.is_ascii_hexdigit());
        match is_hex {
            true => {
                for (byte, digits) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
                    let digits = str::from_utf8(digits).unwrap_or_default();
                    *byte = u8::from_str_radix(digits, 16).unwrap_or_default();
                }
            }
            // The text may be a key that was given in place of its digest, so it is not repeated.
            false => {
                findings
                    .add("key", format!("has {} bytes; give 64 hexadecimal digits", text.len()));
            }
        }
        findings.into_result(KeyDigest(bytes))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = FindingList;

    fn try_from(text: String) -> Result<KeyDigest, FindingList> {
        KeyDigest::try_from(text.as_str())
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.to_string()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // A digest admits to peers what its key admits to this VM, so logs get a part only.
        write!(f, "KeyDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}
