//! Background traffic whose every answer is checked.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use http::Method;
use nutmegbay_fakes::engine::expected_text;
use rand::RngExt;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::caller::{Ask, Caller, Failed};
use crate::texts::Scope;

/// Callers at work at the same time.
const CALLERS: usize = 12;

/// Tokens asked for, from and below.
const TOKENS: std::ops::Range<u32> = 20..80;

/// Words of a prompt, from and below.
const PROMPT_WORDS: std::ops::Range<u32> = 5..400;

/// Failures that are kept for the report.
const KEPT_FAILURES: usize = 5;

/// What callers got.
#[derive(Debug, Default, Clone)]
pub(crate) struct Tally {
    /// Streamed answers that were complete and as expected.
    pub(crate) streamed: u64,
    /// Whole answers that were as expected.
    pub(crate) whole: u64,
    /// Status calls answered.
    pub(crate) status: u64,
    /// Answers that were passed on as complete but are not as expected.
    pub(crate) wrong: u64,
    /// Calls without a complete answer.
    pub(crate) failed: u64,
    /// Some of the failures.
    pub(crate) failures: Vec<String>,
}

impl Tally {
    /// Complete answers.
    pub(crate) fn good(&self) -> u64 {
        self.streamed + self.whole + self.status
    }

    fn fail(&mut self, text: String) {
        self.failed += 1;
        if self.failures.len() < KEPT_FAILURES {
            self.failures.push(text);
        }
    }
}

impl std::fmt::Display for Tally {
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

/// Running traffic.
#[derive(Debug)]
pub(crate) struct Traffic {
    stop: CancellationToken,
    callers: JoinSet<()>,
    tally: Arc<Mutex<Tally>>,
}

impl Traffic {
    /// Starts callers that choose one of `gateways` for each call.
    pub(crate) fn start(gateways: &[SocketAddr], token: &str, scope: &Scope) -> Self {
        let stop = CancellationToken::new();
        let tally = Arc::new(Mutex::new(Tally::default()));
        let mut callers = JoinSet::new();
        for _ in 0..CALLERS {
            let (stop, tally) = (stop.clone(), Arc::clone(&tally));
            let (gateways, token, scope) = (gateways.to_vec(), token.to_owned(), scope.clone());
            callers.spawn(async move {
                let caller = Caller::new();
                // Only between calls: a call that was begun is finished.
                while !stop.is_cancelled() {
                    let gateway = gateways[rand::rng().random_range(0..gateways.len())];
                    let result = call(&caller, gateway, &token, &scope).await;
                    count(
                        &mut tally.lock().unwrap_or_else(PoisonError::into_inner),
                        result,
                    );
                }
            });
        }
        Self {
            stop,
            callers,
            tally,
        }
    }

    /// Complete answers so far.
    pub(crate) fn good(&self) -> u64 {
        self.tally
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .good()
    }

    /// Lets the callers finish their calls and returns what they got.
    pub(crate) async fn stop(self) -> Tally {
        self.stop.cancel();
        self.callers.join_all().await;
        self.tally
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Kind of a call with what it got.
enum Got {
    Streamed { is_expected: bool },
    Whole { is_expected: bool },
    Status,
}

async fn call(
    caller: &Caller,
    gateway: SocketAddr,
    token: &str,
    scope: &Scope,
) -> Result<Got, Failed> {
    let kind = rand::rng().random_range(0..10);
    if kind == 0 {
        let bearer = format!("Bearer {token}");
        let path = &*scope.status.path;
        let headers = [("authorization", &*bearer)];
        caller
            .service(Method::GET, gateway, path, &headers, String::new())
            .await?;
        return Ok(Got::Status);
    }
    let ask = random_ask(scope);
    if kind < 6 {
        let text = caller.stream(gateway, token, &ask).await?.whole().await?;
        return Ok(Got::Streamed {
            is_expected: text == expected_chat(&ask),
        });
    }
    let text = caller.whole(gateway, token, &ask).await?;
    let expected = expected_text(&ask.model, &ask.prompt, ask.max_tokens);
    Ok(Got::Whole {
        is_expected: text == expected,
    })
}

/// A call with a prompt that no other call has.
pub(crate) fn random_ask(scope: &Scope) -> Ask {
    let mut rng = rand::rng();
    let words = rng.random_range(PROMPT_WORDS);
    let mut prompt = format!("{:016x}", rng.random::<u64>());
    for _ in 0..words {
        prompt.push_str(" thyme");
    }
    let max_tokens = rng.random_range(TOKENS).min(scope.max_tokens);
    Ask {
        model: scope.model.clone(),
        prompt,
        max_tokens,
    }
}

/// Text of the answer to a chat call with one user message: the gateway writes it as `user: TEXT`.
pub(crate) fn expected_chat(ask: &Ask) -> String {
    expected_text(
        &ask.model,
        &format!("user: {}\n", ask.prompt),
        ask.max_tokens,
    )
}

fn count(tally: &mut Tally, result: Result<Got, Failed>) {
    match result {
        Ok(Got::Streamed { is_expected: true }) => tally.streamed += 1,
        Ok(Got::Whole { is_expected: true }) => tally.whole += 1,
        Ok(Got::Status) => tally.status += 1,
        Ok(Got::Streamed { .. } | Got::Whole { .. }) => tally.wrong += 1,
        Err(failed) => tally.fail(failed.to_string()),
    }
}
