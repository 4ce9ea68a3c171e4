//! What a query asks for, by which its copies are recognised.

use std::cell::OnceCell;
use std::rc::Rc;

use oleanderwind_policy::WorkFingerprint;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::edge::OpaqueRequest;

/// What a query asks for.
pub(crate) struct QueryWork {
    source: WorkSource,
    fingerprint: OnceCell<WorkFingerprint>,
}

enum WorkSource {
    /// A request that is forwarded without being parsed.
    Request(Rc<OpaqueRequest>),
    /// A request of the product's own interface: the customer, the class or service, and what is asked.
    Own { customer: Rc<str>, class: Rc<str>, text: Rc<str> },
}

impl QueryWork {
    /// Returns the work of a request that is forwarded without being parsed.
    pub(crate) fn of_request(request: Rc<OpaqueRequest>) -> Rc<QueryWork> {
        QueryWork::new(WorkSource::Request(request))
    }

    /// Returns the work of a request of the product's own interface.
    pub(crate) fn of_own_request(customer: &str, class: &str, text: &str) -> Rc<QueryWork> {
        let source = WorkSource::Own {
            customer: Rc::from(customer),
            class: Rc::from(class),
            text: Rc::from(text),
        };
        QueryWork::new(source)
    }

    fn new(source: WorkSource) -> Rc<QueryWork> {
        Rc::new(QueryWork { source, fingerprint: OnceCell::new() })
    }

    /// Returns the fingerprint, which is computed on first use.
    pub(crate) fn fingerprint(&self) -> &WorkFingerprint {
        self.fingerprint.get_or_init(|| self.hash_parts(WorkFingerprint::of))
    }

    /// Returns a hash that is cheaper than the fingerprint and differs with `seed`.
    pub(crate) fn hash(&self, seed: u64) -> u64 {
        self.hash_parts(|parts| parts.iter().fold(seed, |seed, part| xxh3_64_with_seed(part, seed)))
    }

    /// Returns what `hash` makes of the parts that make up the work.
    fn hash_parts<H>(&self, hash: impl FnOnce(&[&[u8]]) -> H) -> H {
        match &self.source {
            WorkSource::Request(request) => hash(&request.work_parts()),
            WorkSource::Own { customer, class, text } => {
                hash(&[customer.as_bytes(), class.as_bytes(), text.as_bytes()])
            }
        }
    }

    /// Returns the path, or the class or service of a request of the product's own interface.
    pub(crate) fn place(&self) -> &str {
        match &self.source {
            WorkSource::Request(request) => request.path(),
            WorkSource::Own { class, .. } => class,
        }
    }
}
