//! Bodies of requests and answers, kept in segments of bounded size.
//!
//! Bytes are copied from the buffers in which they were received. Kept as they arrive, a body cut into
//! chunks of one byte would cost forty times its size: each chunk would be an entry of a list, and hold
//! on to the buffer that it was received in.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::memory_pool::MemoryShare;

/// The largest segment, in bytes. Smaller than what allocators map separately, so that freed segments
/// are used again.
const MAX_SEGMENT: usize = 64 << 10;
/// The smallest segment of a body whose length is not known, in bytes.
const MIN_SEGMENT: usize = 1 << 10;

/// A whole body. Clones share its segments.
///
/// # Example
///
/// ```
/// use ryetide::{memory_pool::MemoryPool, segmented_body::BodyBuffer};
/// use ryetide_core::units::ByteSize;
///
/// let pool = MemoryPool::new(ByteSize(100 << 20), ByteSize(1 << 20));
/// let mut buffer = BodyBuffer::new(Some(5));
/// let size = buffer.next_segment(5).unwrap();
/// let share = pool.take(ByteSize(5), ByteSize(size as u64)).unwrap();
/// buffer.add_segment(size, share);
/// assert_eq!(buffer.fill(b"whole"), 5);
/// let body = buffer.finish();
/// assert_eq!((body.len(), pool.held()), (5, ByteSize(5)));
/// drop(body);
/// assert_eq!(pool.held(), ByteSize(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SegmentedBody {
    segments: Arc<[Bytes]>,
    /// The number of segments that were sent.
    sent: usize,
    /// The bytes that were not sent.
    left: u64,
}

impl SegmentedBody {
    /// Creates a body of these segments, of which none is empty.
    pub fn new(segments: Vec<Bytes>) -> Self {
        let left = segments.iter().map(|segment| segment.len() as u64).sum();
        Self { segments: segments.into(), sent: 0, left }
    }

    /// Returns the segments.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// Returns the length of what was not sent, in bytes.
    pub fn len(&self) -> u64 {
        self.left
    }

    /// Returns whether nothing is left to send.
    pub fn is_empty(&self) -> bool {
        self.left == 0
    }

    /// Takes the next segment that was not sent.
    pub fn take_segment(&mut self) -> Option<Bytes> {
        let segment = self.segments.get(self.sent)?.clone();
        self.sent += 1;
        self.left -= segment.len() as u64;
        if self.sent == self.segments.len() {
            // The last one sent frees the segments, unless clones hold them.
            *self = Self::default();
        }
        Some(segment)
    }
}

impl Body for SegmentedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.get_mut().take_segment().map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// A segment and its share of the memory.
#[derive(Debug)]
struct BodySegment {
    bytes: Vec<u8>,
    /// Given back with the last clone of the segment's bytes.
    _share: MemoryShare,
}

impl AsRef<[u8]> for BodySegment {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that is being received. The memory for each segment is taken before it.
#[derive(Debug)]
pub struct BodyBuffer {
    full: Vec<Bytes>,
    current: Option<BodySegment>,
    length: usize,
    /// The length that was announced.
    announced: Option<usize>,
    /// The largest segment.
    max_segment: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of the announced length, if one was announced.
    pub fn new(announced: Option<usize>) -> Self {
        Self { full: Vec::new(), current: None, length: 0, announced, max_segment: MAX_SEGMENT }
    }

    /// Creates an empty buffer that takes a body of an announced length in one segment.
    pub fn contiguous(announced: Option<usize>) -> Self {
        Self { max_segment: announced.unwrap_or(MAX_SEGMENT), ..Self::new(announced) }
    }

    /// Returns the bytes received.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the size of the segment that must be added for the next `needed` bytes, if the present
    /// one is full: the rest of an announced body, otherwise as much again as there is.
    pub fn next_segment(&self, needed: usize) -> Option<usize> {
        if self.current.as_ref().is_some_and(|it| it.bytes.len() < it.bytes.capacity()) {
            return None;
        }
        let rest = self.announced.map(|length| length.saturating_sub(self.length));
        Some(match rest {
            Some(rest) if rest > 0 => rest.min(self.max_segment),
            _ => needed.max(self.length).clamp(MIN_SEGMENT, MAX_SEGMENT),
        })
    }

    /// Adds a segment of this size, with its share of the memory.
    pub fn add_segment(&mut self, size: usize, share: MemoryShare) {
        self.end_segment();
        self.current = Some(BodySegment { bytes: Vec::with_capacity(size), _share: share });
    }

    /// Copies as much of a piece as the present segment takes, and returns how much that is.
    pub fn fill(&mut self, piece: &[u8]) -> usize {
        let Some(BodySegment { bytes, .. }) = &mut self.current else { return 0 };
        let length = piece.len().min(bytes.capacity() - bytes.len());
        bytes.extend_from_slice(&piece[..length]);
        self.length += length;
        length
    }

    /// Returns the body.
    pub fn finish(mut self) -> SegmentedBody {
        self.end_segment();
        SegmentedBody::new(self.full)
    }

    /// Returns the body in one piece. `share` is the memory for it, if it has several segments.
    pub fn join(mut self, share: Option<MemoryShare>) -> Bytes {
        self.end_segment();
        let Some(share) = share else { return self.full.pop().unwrap_or_default() };
        let mut bytes = Vec::with_capacity(self.length);
        self.full.iter().for_each(|segment| bytes.extend_from_slice(segment));
        Bytes::from_owner(BodySegment { bytes, _share: share })
    }

    /// Returns whether the body has several segments.
    pub fn is_split(&self) -> bool {
        self.full.len() + usize::from(self.current.is_some()) > 1
    }

    fn end_segment(&mut self) {
        self.full.extend(self.current.take().map(Bytes::from_owner));
    }
}
