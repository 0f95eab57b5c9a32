//! One running request of a sample engine.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use poem::http::StatusCode;
use poem::{Body, Response};
use serde_json::{Value, json};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::sample_engine::{Inner, token};
use crate::sample_record::{json_answer, take};

/// A request's place in the queue or batch, given back on drop.
pub(crate) struct Run {
    inner: Arc<Inner>,
    attempt: String,
    epoch: u64,
    // Resolves when the batch has a place; `None` once the request runs.
    turn: Option<oneshot::Receiver<()>>,
    complete: bool,
}

impl Run {
    pub fn new(
        inner: Arc<Inner>,
        attempt: String,
        epoch: u64,
        turn: Option<oneshot::Receiver<()>>,
    ) -> Self {
        Self { inner, attempt, epoch, turn, complete: false }
    }

    /// Waits for a place in the batch; `false` if the engine restarted meanwhile.
    pub async fn start(&mut self) -> bool {
        let Some(turn) = &mut self.turn else { return true };
        let granted = turn.await.is_ok();
        if granted {
            self.turn = None;
        }
        granted
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        // A place can be granted between the last poll and the drop.
        let started = self.turn.as_mut().is_none_or(|turn| {
            turn.close();
            turn.try_recv().is_ok()
        });
        self.inner.finish(&self.attempt, self.epoch, started, self.complete);
    }
}

/// The answer of a running request.
pub(crate) struct Answering {
    pub run: Run,
    pub cancel: CancellationToken,
    pub chat: bool,
    pub id: String,
    pub model: String,
    pub digest: String,
    pub prompt: u64,
    pub total: u64,
    pub next: u64,
    pub due: Instant,
    pub usage: bool,
}

enum Phase {
    Tokens,
    Finish,
    Usage,
    Done,
}

impl Answering {
    /// Waits for the next token, whose time includes the prompt for the first one.
    ///
    /// Counting from the planned time of the last token keeps the rate exact.
    async fn step(&mut self, first: bool) -> io::Result<()> {
        let spec = &self.run.inner.spec;
        let token = Duration::from_secs_f64(1.0 / spec.rate.max(0.001));
        let time = if first { spec.first.to_std() } else { token };
        tokio::select! {
            due = self.run.inner.pause(self.due, time) => {
                self.due = due;
                Ok(())
            }
            () = self.cancel.cancelled() => Err(io::Error::other("cancelled")),
        }
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.total,
            "total_tokens": self.prompt + self.total,
        })
    }

    fn event(&self, text: Option<&str>, finish: Option<&str>) -> Bytes {
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        let choice = match self.chat {
            true => {
                let delta = text.map_or(json!({}), |t| json!({ "content": t }));
                json!({ "index": 0, "delta": delta, "finish_reason": finish })
            }
            false => {
                json!({ "index": 0, "text": text.unwrap_or_default(), "finish_reason": finish })
            }
        };
        self.data(json!({ "object": object, "choices": [choice] }))
    }

    fn data(&self, mut value: Value) -> Bytes {
        value["id"] = self.id.as_str().into();
        value["model"] = self.model.as_str().into();
        value["created"] = 0.into();
        Bytes::from(format!("data: {value}\n\n"))
    }

    /// Whether a fault breaks the stream here.
    fn breaks(&self, sent: u64) -> bool {
        let mut state = self.run.inner.state();
        let after = state.faults.break_after;
        after > 0 && sent >= after && take(&mut state.faults.break_count)
    }

    /// The answer as server-sent events.
    pub fn stream(self) -> Body {
        let begin = (self, Phase::Tokens, 0_u64);
        Body::from_bytes_stream(stream::unfold(begin, async |(mut this, phase, sent)| {
            let item = match phase {
                Phase::Tokens if this.next < this.total => {
                    let step = match this.breaks(sent) {
                        true => Err(io::Error::other("broken by a fault")),
                        false => this.step(sent == 0).await,
                    };
                    match step {
                        Ok(()) => {
                            let text = token(&this.model, &this.digest, this.next);
                            this.next += 1;
                            (Ok(this.event(Some(&text), None)), Phase::Tokens)
                        }
                        Err(e) => (Err(e), Phase::Done),
                    }
                }
                Phase::Tokens => {
                    let after = if this.usage { Phase::Usage } else { Phase::Finish };
                    (Ok(this.event(None, Some("length"))), after)
                }
                Phase::Usage => {
                    let usage = json!({ "choices": [], "usage": this.usage() });
                    (Ok(this.data(usage)), Phase::Finish)
                }
                Phase::Finish => {
                    this.run.complete = true;
                    (Ok(Bytes::from_static(b"data: [DONE]\n\n")), Phase::Done)
                }
                Phase::Done => return None,
            };
            Some((item.0, (this, item.1, sent + 1)))
        }))
    }

    /// The answer as one JSON body.
    pub async fn whole(mut self) -> Response {
        let mut text = String::new();
        for at in 0..self.total {
            if self.breaks(at) || self.step(at == 0).await.is_err() {
                let error = json!({ "type": "broken", "code": "broken", "message": "broken off" });
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                return json_answer(status, &json!({ "error": error }));
            }
            text.push_str(&token(&self.model, &self.digest, at));
        }
        self.run.complete = true;
        let (object, choice) = match self.chat {
            true => {
                let message = json!({ "role": "assistant", "content": text });
                let choice = json!({ "index": 0, "message": message, "finish_reason": "length" });
                ("chat.completion", choice)
            }
            false => {
                let choice = json!({ "index": 0, "text": text, "finish_reason": "length" });
                ("text_completion", choice)
            }
        };
        let answer = json!({
            "id": self.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": self.usage(),
        });
        json_answer(StatusCode::OK, &answer)
    }
}
