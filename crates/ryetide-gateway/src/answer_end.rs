//! Decides whether an answer that was read to its end is whole.
//!
//! A length or the last chunk marks the end of most answers. The end of the connection marks that of
//! the others, and a target that crashes ends its connections in the same way. Such an answer is
//! whole only if its target is seen to run still, whatever is known of it otherwise: a target that
//! leaves, is gone from the list or is quarantined may crash as any other.

use tokio::time::{self, Instant};

use ryetide_core::target_load::TargetEntry;

use crate::{
    gateway_state::Gateway, target_answer::AnswerFraming, target_connector::TargetReachability,
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
    // Who answers at the address now may be another one than has answered the request.
    let is_replaced = gateway.fleet().is_address_reused(target);
    let end = match reachability {
        Ok(TargetReachability::Refuses) => AnswerEnd::BrokenOff,
        Ok(TargetReachability::Reached | TargetReachability::ReachedByPeer) if !is_replaced => {
            AnswerEnd::Whole
        }
        _ => AnswerEnd::Unknown,
    };
    if end != AnswerEnd::Whole {
        let end: &str = end.into();
        tracing::debug!(event = "answer-not-whole", step = "read", request, peer = %target.name, end);
    }
    end
}
