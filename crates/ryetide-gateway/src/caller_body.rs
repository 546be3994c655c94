//! Reads the bodies of callers' requests into the memory that all of them share.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use ryetide::{
    memory_pool::{BodyArrival, MemoryShare, NoRoom},
    segmented_body::{BodyBuffer, SegmentedBody},
};
use ryetide_core::units::ByteSize;
use tokio::time;

use crate::{
    caller_answer::{OwnAnswer, OwnReason},
    gateway_state::Gateway,
};

/// The longest time for receiving a request's body.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The retry delay for a request whose body has no room: bodies that stop arriving give way after
/// about this time.
const NO_ROOM_RETRY: Duration = Duration::from_secs(1);

/// Reads a whole body before its request is queued, so that a caller that stops sending does not
/// occupy a slot.
///
/// A body whose announced length is not permitted is refused before any of it is asked for.
///
/// # Errors
///
/// Returns the gateway's own answer when the body is too large, too slow or broken, or when there is
/// no room for it.
pub async fn read(gateway: &Gateway, mut body: Incoming) -> Result<SegmentedBody, OwnAnswer> {
    let limit = gateway.fleet().request_limits().body;
    if body.size_hint().lower() > limit.0 {
        return Err(OwnAnswer::new(OwnReason::BodyTooLarge));
    }
    if body.is_end_stream() {
        return Ok(SegmentedBody::default());
    }
    let arrival = gateway.memory().begin(gateway.hub().clock().now());
    let reader = BodyReader { gateway, arrival: &arrival, limit };
    let reading = time::timeout(BODY_TIMEOUT, reader.collect(&mut body));
    tokio::select! {
        biased;
        read = reading => read.unwrap_or(Err(OwnAnswer::new(OwnReason::BodyTooSlow))),
        () = arrival.must_give_way() => Err(no_room(NoRoom)),
    }
}

fn no_room(_: NoRoom) -> OwnAnswer {
    OwnAnswer::new(OwnReason::NoMemory).with_retry(NO_ROOM_RETRY)
}

/// Reads one body.
struct BodyReader<'a> {
    gateway: &'a Gateway,
    arrival: &'a BodyArrival,
    limit: ByteSize,
}

impl BodyReader<'_> {
    async fn collect(&self, body: &mut Incoming) -> Result<SegmentedBody, OwnAnswer> {
        let announced = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        let mut reserved = match announced {
            Some(length) => Some(self.reserve(length).await?),
            None => None,
        };
        let mut buffer = BodyBuffer::new(announced);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                tracing::debug!(event = "body-broken", step = "read body", reason = %error);
                OwnAnswer::new(OwnReason::BadRequest)
            })?;
            // A frame without data holds trailers, which are not forwarded.
            let Ok(piece) = frame.into_data() else { continue };
            if (buffer.len() + piece.len()) as u64 > self.limit.0 {
                return Err(OwnAnswer::new(OwnReason::BodyTooLarge));
            }
            let mut rest = &piece[..];
            while !rest.is_empty() {
                if let Some(size) = buffer.next_segment(rest.len()) {
                    let share = match &mut reserved {
                        Some(reserved) => reserved.split(ByteSize(size as u64)),
                        None => self.reserve(size).await?,
                    };
                    buffer.add_segment(size, share);
                }
                rest = &rest[buffer.fill(rest)..];
            }
        }
        Ok(buffer.finish())
    }

    async fn reserve(&self, size: usize) -> Result<MemoryShare, OwnAnswer> {
        let clock = || self.gateway.hub().clock().now();
        self.arrival.reserve(clock, ByteSize(size as u64)).await.map_err(no_room)
    }
}
