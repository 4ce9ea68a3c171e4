//! Requests within the quotas of their organisations.

use std::rc::Rc;
use std::sync::Arc;

use oleanderwind_http::HttpReply;
use oleanderwind_policy::CallerIdentity;
use oleanderwind_policy::OrganisationId;
use oleanderwind_policy::QuotaRefusal;
use oleanderwind_policy::RouteContract;
use oleanderwind_policy::RunState;

use crate::directory::ActiveRoutes;
use crate::edge::OpaqueRequest;
use crate::peers::QuotaAdmission;
use crate::routes::answer::quota_refusal;
use crate::routes::service::RouteService;
use crate::time::milliseconds;

/// End of a request.
pub(crate) struct RequestEnd {
    pub(crate) reply: HttpReply,
    /// Whether a target may have run the request.
    pub(crate) ran: RunState,
}

impl RequestEnd {
    /// Returns the end of a request of which nothing ran.
    pub(crate) fn not_run(reply: HttpReply) -> RequestEnd {
        RequestEnd { reply, ran: RunState::No }
    }

    /// Returns the end of a request that a target or a peer's target may have run.
    pub(crate) fn unknown(reply: HttpReply) -> RequestEnd {
        RequestEnd { reply, ran: RunState::Unknown }
    }
}

impl RouteService {
    /// Runs a request if it is within the quota of its organisation, if that has one.
    ///
    /// A request that a peer passes on was admitted there.
    pub(crate) async fn run_within_quota(
        &self,
        routes: &ActiveRoutes,
        route: &Arc<RouteContract>,
        request: Rc<OpaqueRequest>,
        identity: &CallerIdentity,
        relayed_attempts: Option<u8>,
    ) -> HttpReply {
        let contract = identity.contract().filter(|_| relayed_attempts.is_none());
        let quota = contract.and_then(|contract| Some((&contract.organisation, contract.quota?)));
        let Some((organisation, quota)) = quota else {
            return self.run(routes, route, request, relayed_attempts).await.reply;
        };
        let token = match self.peers.admit(organisation, quota).await {
            QuotaAdmission::Admitted(token) => token,
            QuotaAdmission::Refused(refusal) => {
                return self.refuse_over_quota(route, &request, organisation, &refusal);
            }
        };
        self.metrics.record_quota(organisation, "admitted");
        let end = self.run(routes, route, request, relayed_attempts).await;
        if end.ran == RunState::No {
            self.peers.give_back(organisation, token);
        }
        end.reply
    }

    fn refuse_over_quota(
        &self,
        route: &RouteContract,
        request: &OpaqueRequest,
        organisation: &OrganisationId,
        refusal: &QuotaRefusal,
    ) -> HttpReply {
        let cause = if refusal.is_unreached { "holder_not_reached" } else { "exhausted" };
        self.metrics.record_refusal("over_quota");
        self.metrics.record_quota(organisation, cause);
        log::info!(
            request = request.id.as_str(),
            route = route.name.as_ref(),
            organisation = organisation.as_ref(),
            outcome = "over_quota",
            cause = cause,
            left = refusal.left,
            left_age_ms = refusal.age.map(milliseconds),
            retry_after_ms = milliseconds(refusal.retry_after);
            "request refused"
        );
        quota_refusal(refusal.retry_after)
    }
}
