//! Response bodies for callers: complete ones, and event streams passed on as they arrive.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Instant, Sleep};

use crate::caller_budget::CallerRequest;
use crate::edge::Edge;
use crate::endpoint_table::RequestOutcome;
use crate::http_client::IncomingResponse;
use crate::request_log::{ANSWERED, BROKEN, RequestLog};
use crate::sent_request::SentRequest;
use crate::time::Ms;

/// Body of a response to a caller.
pub(crate) enum ResponseBody {
    /// A complete body.
    Whole(
        Option<Bytes>,
        #[expect(dead_code, reason = "counts until it is dropped")] Option<InFlightGuard>,
    ),
    /// Events, passed on as they arrive from an endpoint.
    Events(Box<EventStream>),
}

/// Counts a request in [`Edge::in_flight`] until its response has been handed over to be written.
pub(crate) struct InFlightGuard(pub(crate) Rc<Edge>);

impl InFlightGuard {
    pub(crate) fn new(edge: &Rc<Edge>) -> Self {
        edge.in_flight.set(edge.in_flight.get() + 1);
        Self(edge.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// An event stream from an endpoint to a caller.
pub(crate) struct EventStream {
    pub(crate) answer: IncomingResponse,
    pub(crate) sent: SentRequest,
    pub(crate) log: RequestLog,
    /// Completes when the request's time is used up.
    pub(crate) end: Pin<Box<Sleep>>,
    #[expect(dead_code, reason = "counts until it is dropped")]
    pub(crate) guard: InFlightGuard,
    #[expect(dead_code, reason = "charges the caller until it is dropped")]
    pub(crate) held: Option<CallerRequest>,
    /// Last bytes received, to tell a complete stream from a truncated one.
    pub(crate) tail: StreamTail,
    /// The response has neither a length nor chunked encoding, so only its events show
    /// whether it is complete.
    pub(crate) unframed: bool,
}

/// The last bytes of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamTail {
    bytes: [u8; 2],
    total: usize,
}

impl StreamTail {
    fn push(&mut self, data: &[u8]) {
        self.total += data.len();
        match data {
            [.., a, b] => self.bytes = [*a, *b],
            [b] => self.bytes = [self.bytes[1], *b],
            [] => {}
        }
    }

    /// Whether the stream is empty or ends with the blank line that closes an event.
    fn ends_with_event(self) -> bool {
        self.total == 0 || self.bytes == *b"\n\n"
    }
}

impl EventStream {
    /// A timer for the instant at which the stream is cut.
    pub(crate) fn cut_after(left: Ms) -> Pin<Box<Sleep>> {
        Box::pin(tokio::time::sleep_until(Instant::now() + left.to_std()))
    }

    /// Logs the stream as broken and ends it with an error, so that the caller doesn't take
    /// it for complete.
    fn fail(&mut self, why: &str) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.log.set_outcome(BROKEN, why);
        Poll::Ready(Some(Err(io::Error::other(why.to_owned()))))
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.answer.poll_chunk(cx) {
            // An endpoint that always has data at hand never lets the timer be polled.
            Poll::Ready(Some(Ok(_))) if Instant::now() >= self.end.deadline() => {
                self.sent.on_end(RequestOutcome::Silent);
                self.fail("time is over")
            }
            Poll::Ready(Some(Ok(data))) => {
                self.tail.push(&data);
                if !data.is_empty() {
                    self.sent.on_answer();
                    self.log.on_first_event();
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(Some(Err(e))) => {
                self.sent.on_broken();
                self.fail(&e)
            }
            Poll::Ready(None) => {
                if self.unframed && !self.tail.ends_with_event() {
                    self.sent.on_broken();
                    return self.fail("ended inside an event");
                }
                self.sent.on_answer();
                self.sent.on_end(RequestOutcome::Answered);
                self.log.set_outcome(ANSWERED, "stream complete");
                Poll::Ready(None)
            }
            Poll::Pending => {
                if self.end.as_mut().poll(cx).is_ready() {
                    self.sent.on_end(RequestOutcome::Silent);
                    return self.fail("time is over");
                }
                Poll::Pending
            }
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(bytes, _) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                Poll::Ready(bytes.map(|b| Ok(Frame::data(b))))
            }
            Self::Events(events) => events.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes, _) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes, _) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Events(_) => SizeHint::default(),
        }
    }
}
