//! Decides whether an answer that was read to its end is whole.
//!
//! A length or the last chunk marks the end of most answers. The end of the connection marks that of
//! the others, and a target that crashes ends its connections in the same way. Such an answer is
//! whole only if its target is seen to run still, whatever is known of it otherwise: a target that
//! leaves, is gone from the list or is quarantined may crash as any other. Where another entry has
//! the address, the process that listens there says which target it is: entries only claim that.

use tokio::time::{self, Instant};

use ryetide_core::target_load::TargetEntry;

use crate::{
    fleet_view::AddressClaim,
    gateway_state::Gateway,
    target_answer::AnswerFraming,
    target_connector::TargetReachability,
    target_identity::{self, AddressListener},
};

/// What is known of the end of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[must_use]
pub enum AnswerEnd {
    /// The answer is whole.
    Whole,
    /// The target has ended, so the answer may lack its rest.
    BrokenOff,
    /// Nothing shows that the answer is whole.
    Unknown,
}

/// Finds out how the answer of `target` to `request`, which was read to its end, has ended.
pub async fn examine(
    gateway: &Gateway,
    request: &str,
    target: &TargetEntry,
    framing: AnswerFraming,
    timeout_at: Instant,
) -> AnswerEnd {
    if framing != AnswerFraming::Connection {
        return AnswerEnd::Whole;
    }
    let examining = gateway.connector().examine(gateway, request, target);
    let reachability = time::timeout_at(timeout_at, examining).await;
    let end = match reachability {
        Ok(TargetReachability::Refuses) => AnswerEnd::BrokenOff,
        Ok(TargetReachability::Reached | TargetReachability::ReachedByPeer) => {
            let identifying = end_at_reached_address(gateway, request, target);
            time::timeout_at(timeout_at, identifying).await.unwrap_or(AnswerEnd::Unknown)
        }
        Ok(TargetReachability::Unknown) | Err(_) => AnswerEnd::Unknown,
    };
    if end != AnswerEnd::Whole {
        let end: &str = end.into();
        tracing::debug!(event = "answer-not-whole", step = "read", request, peer = %target.name, end);
    }
    end
}

/// Decides on an answer of a target at whose address something listens, which may be another process
/// than has answered the request.
async fn end_at_reached_address(
    gateway: &Gateway,
    request: &str,
    target: &TargetEntry,
) -> AnswerEnd {
    match gateway.fleet().address_claim(target) {
        AddressClaim::Unclaimed => return AnswerEnd::Whole,
        // The name alone does not tell the incarnations of a target apart.
        AddressClaim::Restarted => return AnswerEnd::Unknown,
        AddressClaim::Others => {}
    }
    let listener = target_identity::identify(gateway, request, target).await;
    let is_restarted = gateway.fleet().address_claim(target) == AddressClaim::Restarted;
    match listener {
        AddressListener::Target if !is_restarted => AnswerEnd::Whole,
        AddressListener::Other => AnswerEnd::BrokenOff,
        AddressListener::Target | AddressListener::Unknown => AnswerEnd::Unknown,
    }
}
