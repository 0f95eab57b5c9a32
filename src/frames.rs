//! Frames of an engine's answer, checked to belong to their attempt.

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

use crate::http_client::IncomingResponse;
use crate::ids::AttemptId;
use crate::sse::SseParser;

/// Token counts that the engine states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default, rename = "prompt_tokens")]
    pub prompt: u64,
    /// Tokens of the answer.
    #[serde(default, rename = "completion_tokens")]
    pub completion: u64,
}

/// One event of a stream, or the whole body of a non-streaming answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// JSON text as the engine sent it.
    pub raw: Bytes,
    /// Id of the answer, which carries the attempt id.
    pub id: String,
    /// Model that ran.
    pub model: String,
    /// Tokens in this frame: 1 for an event with text, the stated count for a whole body.
    pub tokens: u64,
    /// Token counts, where the engine states them.
    pub usage: Option<Usage>,
}

/// Why the frames of an answer ended early.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Nothing arrived within the progress deadline.
    Silent,
    /// The call's deadline passed.
    Deadline,
    /// The connection ended before the answer was complete.
    Closed(String),
    /// The engine reported an error within its answer.
    Failed(Bytes),
    /// A frame is larger than allowed.
    Oversized,
    /// The whole non-streaming answer belongs to another attempt.
    Mismatch,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Silent => f.write_str("no progress in time"),
            Self::Deadline => f.write_str("deadline passed"),
            Self::Closed(reason) => write!(f, "ended early: {reason}"),
            Self::Failed(_) => f.write_str("engine reported an error"),
            Self::Oversized => f.write_str("frame too large"),
            Self::Mismatch => f.write_str("answer belongs to another attempt"),
        }
    }
}

/// Counter of frames that were dropped; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Dropped(Arc<AtomicU64>);

impl Dropped {
    /// Frames dropped so far.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts one dropped frame.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

pub(crate) struct Limits {
    pub progress: Option<Duration>,
    pub deadline: Instant,
    pub frame: usize,
}

/// Frames of one answer over HTTP; dropping them closes the connection.
pub struct Frames {
    // Taken when the answer is complete or broken.
    answer: Option<IncomingResponse>,
    attempt: String,
    stream: bool,
    limits: Limits,
    // End of the wait for the next piece.
    wait: Pin<Box<Sleep>>,
    sse: SseParser,
    whole: BytesMut,
    dropped: Dropped,
}

#[derive(Deserialize)]
struct Head {
    #[serde(default)]
    id: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

enum Parsed {
    Frame(Frame),
    Foreign,
    Failed(Bytes),
    Garbled(String),
}

impl Frames {
    pub(crate) fn new(
        answer: IncomingResponse,
        attempt: AttemptId,
        stream: bool,
        limits: Limits,
        dropped: Dropped,
    ) -> Self {
        let wait = Box::pin(sleep_until(next_wait(&limits)));
        Self {
            answer: Some(answer),
            attempt: attempt.to_string(),
            stream,
            limits,
            wait,
            sse: SseParser::default(),
            whole: BytesMut::new(),
            dropped,
        }
    }

    fn parse(&self, raw: Bytes) -> Parsed {
        let head: Head = match serde_json::from_slice(&raw) {
            Ok(head) => head,
            Err(e) => return Parsed::Garbled(format!("frame is not valid: {e}")),
        };
        if head.error.is_some() && head.choices.is_empty() {
            return Parsed::Failed(raw);
        }
        if !head.id.contains(&self.attempt) {
            return Parsed::Foreign;
        }
        let text = |c: &Choice| {
            let delta = c.delta.as_ref().and_then(|d| d.content.as_deref());
            !delta.or(c.text.as_deref()).unwrap_or("").is_empty()
        };
        let tokens = match self.stream {
            true => head.choices.iter().filter(|c| text(c)).count() as u64,
            false => head.usage.map_or(0, |u| u.completion),
        };
        Parsed::Frame(Frame { raw, id: head.id, model: head.model, tokens, usage: head.usage })
    }

    fn fail(&mut self, broken: Broken) -> Poll<Option<Result<Frame, Broken>>> {
        self.answer = None;
        Poll::Ready(Some(Err(broken)))
    }

    /// The next item from bytes received so far.
    fn event(&mut self) -> Option<Poll<Option<Result<Frame, Broken>>>> {
        while let Some(raw) = self.sse.next_event() {
            if raw.as_ref() == b"[DONE]" {
                if let Some(answer) = self.answer.take() {
                    answer.drain();
                }
                return Some(Poll::Ready(None));
            }
            match self.parse(raw) {
                Parsed::Frame(frame) => return Some(Poll::Ready(Some(Ok(frame)))),
                Parsed::Foreign => self.dropped.add(),
                Parsed::Failed(raw) => return Some(self.fail(Broken::Failed(raw))),
                Parsed::Garbled(reason) => return Some(self.fail(Broken::Closed(reason))),
            }
        }
        None
    }

    /// The item for a non-streaming body that is complete.
    fn complete(&mut self) -> Poll<Option<Result<Frame, Broken>>> {
        self.answer = None;
        let raw = self.whole.split().freeze();
        Poll::Ready(Some(match self.parse(raw) {
            Parsed::Frame(frame) => Ok(frame),
            Parsed::Foreign => {
                self.dropped.add();
                Err(Broken::Mismatch)
            }
            Parsed::Failed(raw) => Err(Broken::Failed(raw)),
            Parsed::Garbled(reason) => Err(Broken::Closed(reason)),
        }))
    }
}

fn next_wait(limits: &Limits) -> Instant {
    limits.progress.map_or(limits.deadline, |p| limits.deadline.min(Instant::now() + p))
}

impl Stream for Frames {
    type Item = Result<Frame, Broken>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        loop {
            if this.answer.is_none() {
                return Poll::Ready(None);
            }
            if let Some(item) = this.event() {
                return item;
            }
            let Some(answer) = this.answer.as_mut() else {
                return Poll::Ready(None);
            };
            match answer.poll_chunk(cx) {
                Poll::Ready(Some(Ok(data))) => {
                    this.wait.as_mut().reset(next_wait(&this.limits));
                    match this.stream {
                        true => this.sse.push(&data),
                        false => this.whole.extend_from_slice(&data),
                    }
                    if this.sse.held() + this.whole.len() > this.limits.frame {
                        return this.fail(Broken::Oversized);
                    }
                }
                Poll::Ready(Some(Err(reason))) => return this.fail(Broken::Closed(reason)),
                Poll::Ready(None) if this.stream => {
                    return this.fail(Broken::Closed("stream ended without [DONE]".to_owned()));
                }
                Poll::Ready(None) => return this.complete(),
                Poll::Pending => {
                    if this.wait.as_mut().poll(cx).is_pending() {
                        return Poll::Pending;
                    }
                    // Connections opened earlier may be silent as well.
                    if let Some(answer) = this.answer.take() {
                        answer.discard();
                    }
                    let late = Instant::now() >= this.limits.deadline;
                    return this.fail(if late { Broken::Deadline } else { Broken::Silent });
                }
            }
        }
    }
}
