//! Calls that are repeated while they go unanswered.
//!
//! An open connection can go silent for good, and a time limit that suits a slow service is far
//! longer than a change may take to be followed. A call without an answer is therefore repeated
//! early, on another connection, while the earlier calls go on.

use std::future::Future;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::timeout;

/// Most calls that are under way at the same time.
pub const MAX_CALLS: usize = 3;

/// Why another call is made, or the answers of others are awaited.
#[derive(Debug)]
pub(crate) enum CallTrouble<'a, E> {
    /// No call has been answered for this time.
    Overdue(Duration),
    /// A call has failed while others are under way.
    Failed(&'a E),
}

/// Makes a call and repeats it if there is no answer after `first`, and again after each
/// `next`. Returns the first answer, or the error of the last call under way. `call` gets the
/// number of calls before it.
pub(crate) async fn first_answer<T, E, Fut>(
    first: Duration,
    next: Duration,
    call: impl Fn(usize) -> Fut,
    mut on_trouble: impl FnMut(CallTrouble<'_, E>),
) -> Result<T, E>
where
    Fut: Future<Output = Result<T, E>>,
{
    let mut calls = FuturesUnordered::new();
    calls.push(call(0));
    let (mut made, mut patience, mut waited) = (1, first, Duration::ZERO);
    loop {
        match timeout(patience, calls.next()).await {
            Ok(Some(Err(e))) if !calls.is_empty() => on_trouble(CallTrouble::Failed(&e)),
            Ok(Some(answer)) => return answer,
            // Cannot happen: the last call under way returns above.
            Ok(None) => calls.push(call(made)),
            Err(_) => {
                waited += patience;
                if calls.len() < MAX_CALLS {
                    on_trouble(CallTrouble::Overdue(waited));
                    calls.push(call(made));
                    made += 1;
                }
            }
        }
        patience = next;
    }
}
