//! Forwards a stream event by event, from one target or from several in turn.
//!
//! A resumable stream that breaks is resumed at another target after the last complete event that
//! was forwarded. When any other stream breaks, the connection to the caller is closed too, so that
//! the stream does not look complete. A stream that ends inside an event has been broken off,
//! whatever marks its end: the end of its connection may be the end of its target's process.

use std::{time::Duration, vec};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::{HeaderMap, header};
use ryetide_core::{decision::RunEnd, event_scanner::EventScanner, event_tracker};

use crate::{
    answer_end::AnswerEnd,
    caller_answer::PieceStream,
    exchange::{DispatchEnd, Exchange, RunProgress},
    relay_fault::RelayFault,
    target_answer::TargetAnswer,
};

/// How long a resumable stream may be without an event before it is resumed at another target:
/// several times the longest pause that meets the objective, and well before callers disconnect.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The largest answer that is forwarded where events were expected and none are announced.
const MAX_PLAIN_ANSWER: usize = 4 << 20;

/// A stream that is being forwarded.
pub struct StreamRelay {
    exchange: Exchange,
    /// The answer that is being read; `None` once it has ended.
    answer: Option<TargetAnswer>,
    scanner: EventScanner,
    /// Whether the stream consists of events.
    has_events: bool,
    /// Whether another target may go on with the stream.
    may_resume: bool,
    /// The bytes forwarded of a stream that does not consist of events.
    forwarded: usize,
    pieces: u64,
}

impl StreamRelay {
    /// Creates a relay that forwards `answer`.
    pub fn new(exchange: Exchange, answer: TargetAnswer) -> Self {
        let has_events = exchange.is_repeatable() || may_hold_events(&answer.head.headers);
        let may_resume = exchange.is_repeatable();
        Self::with_mode(exchange, answer, has_events, may_resume)
    }

    /// Creates a relay that forwards an answer which is no stream, without buffering it.
    pub fn unbuffered(exchange: Exchange, answer: TargetAnswer) -> Self {
        Self::with_mode(exchange, answer, false, false)
    }

    fn with_mode(
        exchange: Exchange,
        answer: TargetAnswer,
        has_events: bool,
        may_resume: bool,
    ) -> Self {
        let scanner = EventScanner::default();
        let answer = Some(answer);
        Self { exchange, answer, scanner, has_events, may_resume, forwarded: 0, pieces: 0 }
    }

    /// Returns the exchange of a stream that could not start.
    pub fn into_exchange(self) -> Exchange {
        self.exchange
    }

    /// Returns the next piece, or `None` when the stream is complete.
    ///
    /// # Errors
    ///
    /// Returns a [`RelayFault`] when the stream breaks and cannot be resumed.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, RelayFault> {
        loop {
            match self.read_piece().await {
                Ok(Some(piece)) if piece.is_empty() => {}
                Ok(Some(piece)) => {
                    if let Some(answer) = self.answer.as_ref().filter(|_| self.scanner.events() > 0)
                    {
                        self.exchange.bind_version(&answer.target);
                    }
                    self.pieces += 1;
                    self.exchange.record_piece();
                    return Ok(Some(piece));
                }
                Ok(None) => match self.answer_end().await {
                    AnswerEnd::Whole => {
                        self.exchange.finish(RunEnd::Whole);
                        self.answer
                            .take()
                            .into_iter()
                            .for_each(|it| self.exchange.keep_connection(it));
                        return Ok(None);
                    }
                    AnswerEnd::BrokenOff | AnswerEnd::Unknown => {
                        self.resume_elsewhere(RelayFault::Truncated).await?;
                    }
                },
                Err(fault) => self.resume_elsewhere(fault).await?,
            }
        }
    }

    /// Finds out how the answer, which was read to its end, has ended.
    async fn answer_end(&self) -> AnswerEnd {
        match &self.answer {
            Some(answer) => self.exchange.answer_end(&answer.target).await,
            None => AnswerEnd::Whole,
        }
    }

    /// Turns the relay into a stream of `first` and the pieces that follow it.
    pub fn into_pieces(self, first: Option<Bytes>) -> PieceStream {
        match first {
            Some(first) => self.into_pieces_after(vec![first]),
            None => Box::pin(stream::empty()),
        }
    }

    /// Turns the relay into a stream of the pieces that were read before and those that follow them.
    pub fn into_pieces_after(self, before: Vec<Bytes>) -> PieceStream {
        struct Pieces {
            relay: StreamRelay,
            before: vec::IntoIter<Bytes>,
            done: bool,
        }
        let state = Pieces { relay: self, before: before.into_iter(), done: false };
        Box::pin(stream::unfold(state, |mut state| async move {
            if state.done {
                return None;
            }
            if let Some(piece) = state.before.next() {
                return Some((Ok(piece), state));
            }
            let next = state.relay.next_piece().await;
            state.done = !matches!(next, Ok(Some(_)));
            if let Err(fault) = next {
                state.relay.exchange.record_broken(fault);
            }
            next.transpose().map(|piece| (piece, state))
        }))
    }

    async fn read_piece(&mut self) -> Result<Option<Bytes>, RelayFault> {
        let silence =
            if self.pieces == 0 { self.exchange.first_event_timeout() } else { SILENCE_TIMEOUT };
        let may_retry = self.may_resume && self.exchange.may_retry();
        let silence = may_retry.then_some(silence);
        let Some(TargetAnswer { body, target, .. }) = &mut self.answer else { return Ok(None) };
        let frame = match self.exchange.await_progress(target, body.frame(), silence).await {
            RunProgress::Received(frame) => frame,
            RunProgress::TimedOut => return Err(RelayFault::TimedOut),
            RunProgress::Stopped => return Err(RelayFault::Stopped),
            RunProgress::Silent => return Err(RelayFault::Silent),
            RunProgress::TargetEnded => {
                tracing::debug!(event = "target-restarted", peer = %target.name, life = %target.incarnation);
                return Err(RelayFault::Broken);
            }
        };
        match frame {
            Some(Err(error)) => {
                tracing::debug!(event = "stream-broken", peer = %target.name, reason = %error);
                Err(RelayFault::Broken)
            }
            Some(Ok(frame)) => {
                if let Some(answer) = &self.answer {
                    answer.connection.record_used();
                }
                // A frame without data holds trailers, which are not forwarded.
                let data = frame.into_data().unwrap_or_default();
                self.scan(data).map(Some)
            }
            None if self.is_truncated() => Err(RelayFault::Truncated),
            None => Ok(None),
        }
    }

    /// Returns whether a stream that ends now has been broken off. A target that ends before the first
    /// event closes its connection, which is all that marks the end of a stream without framing.
    fn is_truncated(&self) -> bool {
        let is_empty = self.has_events && self.scanner.events() == 0;
        let lacks_events =
            is_empty && self.exchange.ends_with_connection() && !self.exchange.continues_stream();
        lacks_events || self.scanner.has_partial()
    }

    /// Returns the bytes that may be forwarded now. Those of an incomplete event are held back if
    /// another target may have to send it again.
    fn scan(&mut self, data: Bytes) -> Result<Bytes, RelayFault> {
        if self.may_resume {
            return self.scanner.push(&data).map_err(|_| RelayFault::TooLarge);
        }
        if self.has_events {
            self.scanner.observe(&data).map_err(|_| RelayFault::TooLarge)?;
            return Ok(data);
        }
        self.forwarded += data.len();
        if self.forwarded > MAX_PLAIN_ANSWER {
            return Err(RelayFault::TooLarge);
        }
        Ok(data)
    }

    /// Resumes the stream at another target after the last complete event.
    async fn resume_elsewhere(&mut self, fault: RelayFault) -> Result<(), RelayFault> {
        if fault == RelayFault::Stopped {
            self.exchange.finish(RunEnd::Abandoned);
            return Err(fault);
        }
        // Dropping the answer closes its connection, which makes the target cancel the request.
        if let Some(answer) = self.answer.take() {
            if fault.may_be_lost_path() {
                answer.connection.record_path_fault();
            }
            self.exchange.record_target_fault(&answer.target, fault.into());
        }
        if fault == RelayFault::TimedOut {
            self.exchange.finish(RunEnd::TimedOut);
            return Err(fault);
        }
        if !self.may_resume {
            self.exchange.finish(RunEnd::Failed);
            return Err(fault);
        }
        self.scanner.drop_partial();
        let last = self.scanner.last_id().map(str::to_owned);
        match self.exchange.retry(last.as_deref()).await {
            DispatchEnd::Answer(answer) if answer.head.status.is_success() => {
                self.answer = Some(*answer);
                Ok(())
            }
            _ => {
                self.exchange.finish(RunEnd::Failed);
                Err(fault)
            }
        }
    }
}

fn may_hold_events(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type.is_none_or(|value| event_tracker::is_event_stream(value.as_bytes()))
}
