//! Answers that tell their connection when all of them was handed over to be sent.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::{
    caller_answer::AnswerBody, caller_connections::CallerConnection, relay_fault::RelayFault,
};

/// The body of an answer on a connection. It is dropped once its last piece was taken.
pub struct GuardedBody {
    body: AnswerBody,
    connection: Rc<CallerConnection>,
}

impl GuardedBody {
    /// Creates the body of the present answer on `connection`.
    pub fn new(body: AnswerBody, connection: Rc<CallerConnection>) -> Self {
        Self { body, connection }
    }
}

impl Drop for GuardedBody {
    fn drop(&mut self) {
        self.connection.record_answer_end();
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = RelayFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayFault>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
