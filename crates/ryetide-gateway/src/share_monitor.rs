//! Writes the state of the fair shares among organisations to the log and the metrics.

use ryetide_core::{
    ids::{OrganisationKey, OrganisationName},
    scheduler::Scheduler,
};

use crate::gateway_state::Gateway;

/// Logs the organisations that have exceeded their share since the last call, and updates the
/// metrics.
pub fn update(gateway: &Gateway) {
    let now = gateway.hub().clock().now();
    let activity = gateway.hub().peek_mut(|it: &mut Scheduler| it.take_share_activity(now));
    for exceeded in &activity.exceeded {
        gateway.log().share_exceeded(name_of(gateway, exceeded.organisation).as_ref(), exceeded);
    }
    gateway.metrics().set_shares(&activity);
}

/// Returns the name of an organisation; none if it is no longer in the routes, or if the request
/// belonged to no organisation.
fn name_of(gateway: &Gateway, key: OrganisationKey) -> Option<OrganisationName> {
    let routes = gateway.fleet().routes()?;
    let found = routes.organisations().find(|it| OrganisationKey::of(&it.name) == key)?;
    Some(found.name.clone())
}
