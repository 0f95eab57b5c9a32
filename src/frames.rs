//! Frames of an engine's answer, verified to belong to their attempt.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use serde::Deserialize;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::engine_client::AnswerFrames;
use crate::http_client::IncomingResponse;
use crate::ids::AttemptId;
use crate::sse::SseParser;

/// Pieces without a frame after which the timer is checked although more data is at hand.
const MAX_PIECES_PER_POLL: usize = 64;

/// Token counts reported by the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    #[serde(default, rename = "prompt_tokens")]
    pub prompt: u64,
    /// Number of answer tokens.
    #[serde(default, rename = "completion_tokens")]
    pub completion: u64,
}

/// One event of a stream, or the whole body of a non-streaming answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// JSON text sent by the engine.
    pub raw: Bytes,
    /// Id of the answer, which contains the attempt id.
    pub id: String,
    /// Model that ran.
    pub model: String,
    /// Number of tokens: 1 per choice with text in an event, the reported count for a whole
    /// body.
    pub tokens: u64,
    /// Token counts, if the engine reports them in this frame.
    pub usage: Option<Usage>,
}

/// Reason why the frames of an answer ended early.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// No frame of this attempt arrived within the progress timeout.
    Silent,
    /// The request's deadline passed.
    Deadline,
    /// The connection ended before the answer was complete.
    Closed(String),
    /// The engine reported an error within its answer.
    Failed(Bytes),
    /// A frame exceeds the maximum size.
    Oversized,
    /// A non-streaming answer belongs to another attempt.
    Mismatch,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Silent => f.write_str("no frame within the progress timeout"),
            Self::Deadline => f.write_str("deadline passed"),
            Self::Closed(reason) => write!(f, "answer ended early: {reason}"),
            Self::Failed(_) => f.write_str("engine reported an error"),
            Self::Oversized => f.write_str("frame too large"),
            Self::Mismatch => f.write_str("answer belongs to another attempt"),
        }
    }
}

/// Counter of dropped frames; clones share it.
#[derive(Clone, Debug, Default)]
pub struct DroppedFrames(Arc<AtomicU64>);

impl DroppedFrames {
    /// Returns the number of frames dropped so far.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts one dropped frame.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Limits on the frames of one answer.
pub(crate) struct FrameLimits {
    pub progress_timeout: Option<Duration>,
    pub deadline: Instant,
    pub max_frame: usize,
}

/// Frames of one answer over HTTP; dropping them closes the connection.
pub struct Frames {
    // None after the answer was completed or failed.
    response: Option<IncomingResponse>,
    attempt: String,
    stream: bool,
    limits: FrameLimits,
    // Expires when the next frame is late.
    timer: Pin<Box<Sleep>>,
    // Whether the last item was `Silent`, which ends the frames unless the caller waits on.
    silent: bool,
    sse: SseParser,
    body: BytesMut,
    dropped: DroppedFrames,
}

#[derive(Deserialize)]
struct AnswerView {
    #[serde(default)]
    id: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    choices: Vec<ChoiceView>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct ChoiceView {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<DeltaView>,
}

#[derive(Deserialize)]
struct DeltaView {
    #[serde(default)]
    content: Option<String>,
}

enum ParsedFrame {
    Frame(Frame),
    Foreign,
    Failed(Bytes),
    Malformed(String),
}

impl Frames {
    pub(crate) fn new(
        response: IncomingResponse,
        attempt: AttemptId,
        stream: bool,
        limits: FrameLimits,
        dropped: DroppedFrames,
    ) -> Self {
        let timer = Box::pin(sleep_until(wait_deadline(&limits)));
        Self {
            response: Some(response),
            attempt: attempt.to_string(),
            stream,
            limits,
            timer,
            silent: false,
            sse: SseParser::default(),
            body: BytesMut::new(),
            dropped,
        }
    }

    fn parse(&self, raw: Bytes) -> ParsedFrame {
        let head: AnswerView = match serde_json::from_slice(&raw) {
            Ok(head) => head,
            Err(e) => return ParsedFrame::Malformed(format!("invalid frame: {e}")),
        };
        if head.error.is_some() && head.choices.is_empty() {
            return ParsedFrame::Failed(raw);
        }
        if !head.id.contains(&self.attempt) {
            return ParsedFrame::Foreign;
        }
        let text = |c: &ChoiceView| {
            let delta = c.delta.as_ref().and_then(|d| d.content.as_deref());
            !delta.or(c.text.as_deref()).unwrap_or("").is_empty()
        };
        let tokens = match self.stream {
            true => head.choices.iter().filter(|c| text(c)).count() as u64,
            false => head.usage.map_or(0, |u| u.completion),
        };
        ParsedFrame::Frame(Frame { raw, id: head.id, model: head.model, tokens, usage: head.usage })
    }

    fn fail(&mut self, broken: FrameError) -> Poll<Option<Result<Frame, FrameError>>> {
        self.response = None;
        Poll::Ready(Some(Err(broken)))
    }

    /// Returns the item for a frame that did not arrive in time.
    fn on_late(&mut self) -> Poll<Option<Result<Frame, FrameError>>> {
        // Pooled connections to the address may be silent as well.
        if let Some(response) = &self.response {
            response.close_pooled();
        }
        if Instant::now() >= self.limits.deadline {
            return self.fail(FrameError::Deadline);
        }
        self.silent = true;
        Poll::Ready(Some(Err(FrameError::Silent)))
    }

    /// Returns the next item of a stream from the bytes received so far.
    fn next_frame(&mut self) -> Option<Poll<Option<Result<Frame, FrameError>>>> {
        while let Some(raw) = self.sse.next_event() {
            if raw.as_ref() == b"[DONE]" {
                if let Some(response) = self.response.take() {
                    response.drain();
                }
                return Some(Poll::Ready(None));
            }
            match self.parse(raw) {
                ParsedFrame::Frame(frame) => {
                    self.timer.as_mut().reset(wait_deadline(&self.limits));
                    return Some(Poll::Ready(Some(Ok(frame))));
                }
                ParsedFrame::Foreign => self.dropped.increment(),
                ParsedFrame::Failed(raw) => return Some(self.fail(FrameError::Failed(raw))),
                ParsedFrame::Malformed(reason) => {
                    return Some(self.fail(FrameError::Closed(reason)));
                }
            }
        }
        None
    }

    /// Returns the item for a complete non-streaming body.
    fn finish_body(&mut self) -> Poll<Option<Result<Frame, FrameError>>> {
        self.response = None;
        let raw = self.body.split().freeze();
        Poll::Ready(Some(match self.parse(raw) {
            ParsedFrame::Frame(frame) => Ok(frame),
            ParsedFrame::Foreign => {
                self.dropped.increment();
                Err(FrameError::Mismatch)
            }
            ParsedFrame::Failed(raw) => Err(FrameError::Failed(raw)),
            ParsedFrame::Malformed(reason) => Err(FrameError::Closed(reason)),
        }))
    }
}

fn wait_deadline(limits: &FrameLimits) -> Instant {
    limits.progress_timeout.map_or(limits.deadline, |p| limits.deadline.min(Instant::now() + p))
}

impl AnswerFrames for Frames {
    fn wait_on(&mut self) {
        self.silent = false;
        self.timer.as_mut().reset(wait_deadline(&self.limits));
    }
}

impl Stream for Frames {
    type Item = Result<Frame, FrameError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        if this.silent {
            this.response = None;
        }
        // Pieces without a frame, received in this call.
        let mut pieces = 0;
        loop {
            if this.response.is_none() {
                return Poll::Ready(None);
            }
            if let Some(item) = this.next_frame() {
                return item;
            }
            let Some(response) = this.response.as_mut() else {
                return Poll::Ready(None);
            };
            // An engine that always has data at hand never lets the timer be polled.
            if pieces > MAX_PIECES_PER_POLL && Instant::now() >= this.timer.deadline() {
                return this.on_late();
            }
            match response.poll_chunk(cx) {
                Poll::Ready(Some(Ok(data))) => {
                    pieces += 1;
                    match this.stream {
                        true => this.sse.push(&data),
                        false => this.body.extend_from_slice(&data),
                    }
                    if this.sse.buffered() + this.body.len() > this.limits.max_frame {
                        return this.fail(FrameError::Oversized);
                    }
                }
                Poll::Ready(Some(Err(reason))) => return this.fail(FrameError::Closed(reason)),
                Poll::Ready(None) if this.stream => {
                    return this.fail(FrameError::Closed("stream ended without [DONE]".to_owned()));
                }
                Poll::Ready(None) => return this.finish_body(),
                Poll::Pending => {
                    if this.timer.as_mut().poll(cx).is_pending() {
                        return Poll::Pending;
                    }
                    return this.on_late();
                }
            }
        }
    }
}
