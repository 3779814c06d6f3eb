//! Background traffic; every model answer is compared with the expected text.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use http::Method;
use nutmegbay_fakes::engine::expected_text;
use rand::RngExt;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::caller::{CallFailure, GatewayClient, ModelCall};
use crate::config::DemoTargets;

/// Number of callers that run at the same time. Each makes one call at a time.
const CONCURRENT_CALLERS: usize = 12;

/// Range from which `max_tokens` of a call is drawn.
const MAX_TOKENS_RANGE: std::ops::Range<u32> = 20..80;

/// Range from which the number of words of a prompt is drawn.
const PROMPT_WORDS_RANGE: std::ops::Range<u32> = 5..400;

/// Maximum number of failure texts that are stored for the report.
const MAX_STORED_FAILURES: usize = 5;

/// Numbers of calls by result.
#[derive(Debug, Default, Clone)]
pub(crate) struct CallCounts {
    /// Complete streamed answers with the expected text.
    pub(crate) streamed: u64,
    /// Answers without streaming that have the expected text.
    pub(crate) whole: u64,
    /// Answered calls of the status route.
    pub(crate) status: u64,
    /// Answers that arrived as complete but have another text than expected.
    pub(crate) wrong: u64,
    /// Calls without a complete answer.
    pub(crate) failed: u64,
    /// Texts of the first failures.
    pub(crate) failures: Vec<String>,
}

impl CallCounts {
    /// Returns the number of complete answers with the expected content.
    pub(crate) fn correct_answers(&self) -> u64 {
        self.streamed + self.whole + self.status
    }

    fn record_failure(&mut self, text: String) {
        self.failed += 1;
        if self.failures.len() < MAX_STORED_FAILURES {
            self.failures.push(text);
        }
    }
}

impl std::fmt::Display for CallCounts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} streamed, {} whole, {} status calls, {} wrong, {} failed",
            self.streamed, self.whole, self.status, self.wrong, self.failed
        )?;
        match self.failures.first() {
            Some(failure) => write!(f, " (first: {failure})"),
            None => Ok(()),
        }
    }
}

/// Running callers; dropping it aborts them.
#[derive(Debug)]
pub(crate) struct Traffic {
    stop: CancellationToken,
    callers: JoinSet<()>,
    counts: Arc<Mutex<CallCounts>>,
}

impl Traffic {
    /// Starts callers that choose a random one of `gateways` for each call.
    pub(crate) fn start(gateways: &[SocketAddr], token: &str, targets: &DemoTargets) -> Self {
        let stop = CancellationToken::new();
        let counts = Arc::new(Mutex::new(CallCounts::default()));
        let mut callers = JoinSet::new();
        for _ in 0..CONCURRENT_CALLERS {
            let (stop, counts) = (stop.clone(), Arc::clone(&counts));
            let (gateways, token, targets) = (gateways.to_vec(), token.to_owned(), targets.clone());
            callers.spawn(async move {
                let caller = GatewayClient::new();
                // The stop takes effect between calls, so that a running call is finished.
                while !stop.is_cancelled() {
                    let gateway = gateways[rand::rng().random_range(0..gateways.len())];
                    let result = make_random_call(&caller, gateway, &token, &targets).await;
                    record_result(
                        &mut counts.lock().unwrap_or_else(PoisonError::into_inner),
                        result,
                    );
                }
            });
        }
        Self {
            stop,
            callers,
            counts,
        }
    }

    /// Returns the number of complete answers with the expected content so far.
    pub(crate) fn correct_answers(&self) -> u64 {
        self.counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .correct_answers()
    }

    /// Waits until the callers have finished their running calls and returns the counts.
    pub(crate) async fn stop(self) -> CallCounts {
        self.stop.cancel();
        self.callers.join_all().await;
        self.counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Kind of a complete answer, and whether its text is the expected one.
enum CheckedAnswer {
    Streamed { is_expected: bool },
    Whole { is_expected: bool },
    Status,
}

async fn make_random_call(
    caller: &GatewayClient,
    gateway: SocketAddr,
    token: &str,
    targets: &DemoTargets,
) -> Result<CheckedAnswer, CallFailure> {
    let kind = rand::rng().random_range(0..10);
    if kind == 0 {
        let bearer = format!("Bearer {token}");
        let path = &*targets.status_route.path;
        let headers = [("authorization", &*bearer)];
        caller
            .call_service(Method::GET, gateway, path, &headers, String::new())
            .await?;
        return Ok(CheckedAnswer::Status);
    }
    let model_call = random_model_call(targets);
    if kind < 6 {
        let text = caller
            .stream_chat(gateway, token, &model_call)
            .await?
            .collect_text()
            .await?;
        return Ok(CheckedAnswer::Streamed {
            is_expected: text == expected_chat_text(&model_call),
        });
    }
    let text = caller.complete(gateway, token, &model_call).await?;
    let expected = expected_text(&model_call.model, &model_call.prompt, model_call.max_tokens);
    Ok(CheckedAnswer::Whole {
        is_expected: text == expected,
    })
}

/// Returns a call with a random prompt that starts with a unique word.
pub(crate) fn random_model_call(targets: &DemoTargets) -> ModelCall {
    let mut rng = rand::rng();
    let words = rng.random_range(PROMPT_WORDS_RANGE);
    let mut prompt = format!("{:016x}", rng.random::<u64>());
    for _ in 0..words {
        prompt.push_str(" thyme");
    }
    let max_tokens = rng.random_range(MAX_TOKENS_RANGE).min(targets.max_tokens);
    ModelCall {
        model: targets.model.clone(),
        prompt,
        max_tokens,
    }
}

/// Returns the expected text of the answer to a chat call. The gateway renders its one user message
/// as the prompt `user: TEXT`.
pub(crate) fn expected_chat_text(model_call: &ModelCall) -> String {
    expected_text(
        &model_call.model,
        &format!("user: {}\n", model_call.prompt),
        model_call.max_tokens,
    )
}

fn record_result(counts: &mut CallCounts, result: Result<CheckedAnswer, CallFailure>) {
    match result {
        Ok(CheckedAnswer::Streamed { is_expected: true }) => counts.streamed += 1,
        Ok(CheckedAnswer::Whole { is_expected: true }) => counts.whole += 1,
        Ok(CheckedAnswer::Status) => counts.status += 1,
        Ok(CheckedAnswer::Streamed { .. } | CheckedAnswer::Whole { .. }) => counts.wrong += 1,
        Err(failed) => counts.record_failure(failed.to_string()),
    }
}
