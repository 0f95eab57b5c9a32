//! Execution of one request by a sample engine.

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

use crate::sample_engine::{EngineInner, token_at};
use crate::sample_record::{consume_fault, json_response};

/// A request's place in the queue or batch, released on drop.
pub(crate) struct BatchPlace {
    inner: Arc<EngineInner>,
    attempt: String,
    epoch: u64,
    // Resolves when the batch has room; `None` once the request runs.
    grant: Option<oneshot::Receiver<()>>,
    complete: bool,
}

impl BatchPlace {
    pub fn new(
        inner: Arc<EngineInner>,
        attempt: String,
        epoch: u64,
        grant: Option<oneshot::Receiver<()>>,
    ) -> Self {
        Self { inner, attempt, epoch, grant, complete: false }
    }

    /// Waits for a place in the batch; `false` if the engine restarted in the meantime.
    pub async fn wait(&mut self) -> bool {
        let Some(grant) = &mut self.grant else { return true };
        let granted = grant.await.is_ok();
        if granted {
            self.grant = None;
        }
        granted
    }
}

impl Drop for BatchPlace {
    fn drop(&mut self) {
        // A place may have been granted between the last poll and the drop.
        let started = self.grant.as_mut().is_none_or(|grant| {
            grant.close();
            grant.try_recv().is_ok()
        });
        self.inner.release_place(&self.attempt, self.epoch, started, self.complete);
    }
}

/// Generates the answer of a running request.
pub(crate) struct Generation {
    pub place: BatchPlace,
    pub cancel: CancellationToken,
    pub chat: bool,
    pub id: String,
    pub model: String,
    pub digest: String,
    pub prompt_tokens: u64,
    pub total_tokens: u64,
    pub next_token: u64,
    pub last_token: Instant,
    pub include_usage: bool,
}

enum Phase {
    Tokens,
    Finish,
    Usage,
    Done,
}

impl Generation {
    /// Waits until the next token is due; the first one also includes the prompt's time.
    ///
    /// The time counts from the planned time of the previous token, so that delays do not
    /// accumulate and the token rate is exact.
    async fn wait_token(&mut self, first: bool) -> io::Result<()> {
        let spec = &self.place.inner.spec;
        let interval = Duration::from_secs_f64(1.0 / spec.token_rate.max(0.001));
        let time = if first { spec.first_token.to_std() } else { interval };
        tokio::select! {
            due = self.place.inner.wait_scaled(self.last_token, time) => {
                self.last_token = due;
                Ok(())
            }
            () = self.cancel.cancelled() => Err(io::Error::other("cancelled")),
        }
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.total_tokens,
            "total_tokens": self.prompt_tokens + self.total_tokens,
        })
    }

    fn choice_event(&self, text: Option<&str>, finish: Option<&str>) -> Bytes {
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
        self.sse_data(json!({ "object": object, "choices": [choice] }))
    }

    fn sse_data(&self, mut value: Value) -> Bytes {
        value["id"] = self.id.as_str().into();
        value["model"] = self.model.as_str().into();
        value["created"] = 0.into();
        Bytes::from(format!("data: {value}\n\n"))
    }

    /// Whether a fault breaks the answer off after `sent` tokens.
    fn breaks_at(&self, sent: u64) -> bool {
        let mut state = self.place.inner.state();
        let after = state.faults.break_after;
        after > 0 && sent >= after && consume_fault(&mut state.faults.break_count)
    }

    /// Returns the answer as server-sent events.
    pub fn into_stream(self) -> Body {
        let begin = (self, Phase::Tokens, 0_u64);
        Body::from_bytes_stream(stream::unfold(begin, async |(mut this, phase, sent)| {
            let item = match phase {
                Phase::Tokens if this.next_token < this.total_tokens => {
                    let result = match this.breaks_at(sent) {
                        true => Err(io::Error::other("stream broken off by an injected fault")),
                        false => this.wait_token(sent == 0).await,
                    };
                    match result {
                        Ok(()) => {
                            let text = token_at(&this.model, &this.digest, this.next_token);
                            this.next_token += 1;
                            (Ok(this.choice_event(Some(&text), None)), Phase::Tokens)
                        }
                        Err(e) => (Err(e), Phase::Done),
                    }
                }
                Phase::Tokens => {
                    let after = if this.include_usage { Phase::Usage } else { Phase::Finish };
                    (Ok(this.choice_event(None, Some("length"))), after)
                }
                Phase::Usage => {
                    let usage = json!({ "choices": [], "usage": this.usage() });
                    (Ok(this.sse_data(usage)), Phase::Finish)
                }
                Phase::Finish => {
                    this.place.complete = true;
                    (Ok(Bytes::from_static(b"data: [DONE]\n\n")), Phase::Done)
                }
                Phase::Done => return None,
            };
            Some((item.0, (this, item.1, sent + 1)))
        }))
    }

    /// Returns the answer as one JSON body.
    pub async fn into_response(mut self) -> Response {
        let mut text = String::new();
        for at in 0..self.total_tokens {
            if self.breaks_at(at) || self.wait_token(at == 0).await.is_err() {
                let error = json!({ "type": "broken", "code": "broken", "message": "broken off" });
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                return json_response(status, &json!({ "error": error }));
            }
            text.push_str(&token_at(&self.model, &self.digest, at));
        }
        self.place.complete = true;
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
        json_response(StatusCode::OK, &answer)
    }
}
