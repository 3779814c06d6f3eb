//! Quotas of client accounts: asks owners for the tokens of requests, and grants those of accounts
//! that this instance owns.

mod message;
mod ticket;

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_policy::edge::admission::{overload_retry_ms, retry_after};
use nutmegbay_policy::edge::quota::{
    Ask, Asker, Contact, ContactReport, Grant, QuotaMembers, QuotaOwner, QuotaPlan, Round, Step,
};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::millis;
use crate::forward::Failure;
use crate::model::{Account, AccountQuota, DeploymentConfig};
use crate::platform_api::WireCodec;
use crate::settings::QuotaBounds;
use crate::state::EdgeState;

pub use message::Message;
pub use ticket::QuotaTicket;

/// Cause of a request that is refused because the quota of its account is used up.
pub const OVER_QUOTA: &str = "over_quota";

/// Maximum wait for tokens. Owners answer within a round trip in the region.
const MAX_WAIT: Duration = Duration::from_millis(60);

/// Maximum wait for tokens as a fraction of the route's objective, as a divisor.
const OBJECTIVE_PER_WAIT: u32 = 4;

/// Time between two updates of what is known of the other instances.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two log lines about refusals of the same account.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of asks that wait for an answer. Further requests are served as if no owner
/// answered.
const MAX_WAITING: usize = 4_096;

/// Maximum number of accounts in the metrics. The others are counted, but not shown.
const MAX_ACCOUNT_SERIES: usize = 200;

/// Quotas of client accounts at this instance.
#[derive(Debug)]
pub struct Quotas {
    /// Accounts with a quota, by name.
    accounts: HashMap<Box<str>, AccountState>,
    owner: QuotaOwner,
    members: QuotaMembers,
    contact: Contact,
    /// Time at which what is known of the others was last updated.
    updated_at: MonotonicTime,
    /// Exchange addresses of other instances.
    addresses: HashMap<u64, SocketAddr>,
    /// Asks without an answer, by id.
    waiting: HashMap<u64, oneshot::Sender<Grant>>,
    socket: Option<Rc<UdpSocket>>,
}

#[derive(Debug)]
struct AccountState {
    hash: u64,
    quota: AccountQuota,
    asker: Asker,
    used: f64,
    refused: u64,
    /// Asks that no owner answered in time.
    unanswered: u64,
    /// Value of `refused` in the last log line, and its time.
    logged: (u64, MonotonicTime),
}

impl Quotas {
    /// Creates the state of an instance, given the hash of its name.
    pub fn new(own: u64) -> Self {
        Self {
            accounts: HashMap::new(),
            owner: QuotaOwner::default(),
            members: QuotaMembers::new(own),
            contact: Contact::default(),
            updated_at: MonotonicTime::default(),
            addresses: HashMap::new(),
            waiting: HashMap::new(),
            socket: None,
        }
    }

    /// Returns whether any account has a quota.
    pub fn is_active(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Sets the socket for datagrams to other instances.
    pub fn set_socket(&mut self, socket: &Rc<UdpSocket>) {
        self.socket = Some(Rc::clone(socket));
    }

    /// Puts the quotas of a configuration in force.
    pub fn set_config(
        &mut self,
        config: &DeploymentConfig,
        bounds: QuotaBounds,
        now: MonotonicTime,
    ) {
        let mut before = std::mem::take(&mut self.accounts);
        for account in &config.accounts {
            let Some(quota) = account.quota else { continue };
            let plan = QuotaPlan::new(quota.quota, bounds);
            let known = before.remove(&account.name);
            let mut state = known.unwrap_or_else(|| AccountState {
                hash: xxh3_64(account.name.as_bytes()),
                quota,
                asker: Asker::new(plan, now),
                used: 0.0,
                refused: 0,
                unanswered: 0,
                logged: (0, MonotonicTime::default()),
            });
            state.quota = quota;
            state.asker.set_plan(plan, now);
            self.accounts.insert(account.name.clone(), state);
        }
        self.update_owners(now);
    }

    /// Gives the plan of each account to its owners and to the requests of this instance.
    fn update_owners(&mut self, now: MonotonicTime) {
        let instances = self.members.other_count() + 1;
        let mut owned = Vec::new();
        for account in self.accounts.values_mut() {
            let owners = self.members.owners(account.hash);
            let owners = owners.as_slice();
            account
                .asker
                .set_owners(owners, instances, self.contact.has_met_others(), now);
            if owners.contains(&self.members.own()) {
                owned.push((account.hash, *account.asker.plan(), owners.len()));
            }
        }
        self.owner.set_accounts(owned.into_iter(), now);
    }

    /// Sends a message to an instance, or answers it if this is the own one.
    fn send(&self, to: u64, message: Message) {
        if let (Some(socket), Some(addr)) = (&self.socket, self.addresses.get(&to)) {
            send_to(socket, *addr, message);
        }
    }

    /// Gives back the tokens of a grant.
    fn give_back(&mut self, account: u64, owner: u64, id: u64, now: MonotonicTime) {
        if owner == self.members.own() {
            self.owner.give_back(account, id, now);
        } else {
            self.send(owner, Message::Return { account, id });
        }
    }

    /// Writes the metrics of the accounts with a quota.
    pub fn write_metrics(&self, text: &mut String, now: MonotonicTime) {
        if !self.is_active() {
            return;
        }
        let is_gaining = u8::from(self.contact.has_joined());
        let _ = writeln!(text, "nutmegbay_quota_gaining {is_gaining}");
        for (name, account) in self.accounts.iter().take(MAX_ACCOUNT_SERIES) {
            let mut line = |metric: &str, value: f64| {
                let _ = writeln!(
                    text,
                    "nutmegbay_quota_{metric}{{account=\"{name}\"}} {value:.0}"
                );
            };
            line("per_second", account.quota.quota.per_s);
            line("burst", account.quota.quota.burst);
            line("used_total", account.used);
            line("refused_total", account.refused as f64);
            line("unanswered_total", account.unanswered as f64);
            line(
                "answer_age_ms",
                account.asker.answer_age(now).as_secs_f64() * 1e3,
            );
            if let Some(tokens) = self.owner.tokens(account.hash) {
                line("owned_tokens", tokens);
            }
        }
    }
}

impl AccountState {
    /// Counts a refused request, and logs it if the last line is old enough.
    fn record_refused(
        &mut self,
        name: &str,
        cost: f64,
        retry: Option<Duration>,
        now: MonotonicTime,
    ) {
        self.refused += 1;
        let (logged, logged_at) = self.logged;
        if logged > 0 && now.since(logged_at) < LOG_INTERVAL {
            return;
        }
        self.logged = (self.refused, now);
        if retry.is_none() {
            tracing::warn!(
                event = "quota_burst_too_small",
                account = name,
                cost,
                burst = self.quota.quota.burst,
            );
        }
        tracing::info!(
            event = "quota_refused",
            account = name,
            cost,
            per_s = self.quota.quota.per_s,
            burst = self.quota.quota.burst,
            refused = self.refused - logged,
            used = self.used.round(),
            unanswered = self.unanswered,
            answer_age_ms = millis(self.asker.answer_age(now)),
            retry_ms = retry.map(millis),
        );
    }
}

/// Updates what this instance knows of the others, and what it gains as an owner.
pub fn update<D: WireCodec>(state: &EdgeState<D>) {
    let now = state.now();
    {
        let quotas = state.quotas.borrow();
        if !quotas.is_active() || now.since(quotas.updated_at) < UPDATE_INTERVAL {
            return;
        }
    }
    let settings = state.settings();
    let others: Vec<u64> = {
        let members = state.members.borrow();
        let presence = state.presence.borrow();
        let alive = members.other_hashes(&settings.node, now);
        let others: BTreeSet<u64> = alive.chain(presence.heard(now)).collect();
        others.into_iter().collect()
    };
    let mut quotas = state.quotas.borrow_mut();
    let quotas = &mut *quotas;
    quotas.updated_at = now;
    let report = ContactReport {
        announced_for: state.presence.borrow().announced_for(now),
        has_joined: state.presence.borrow().has_joined(now),
        record_age: now.since(state.record_written_at.get()),
        is_current: state.is_member_list_current(),
        heard: state.fleet.borrow().heard_instances(),
        known: quotas.members.other_count().max(others.len()),
    };
    let had_joined = quotas.contact.has_joined();
    if quotas.contact.update(report, now) {
        state.presence.borrow_mut().announce_again();
    }
    if quotas.contact.has_joined() != had_joined {
        tracing::info!(
            event = "quota_contact",
            gains = quotas.contact.has_joined(),
            heard = report.heard,
            known = report.known,
            announced_ms = report.announced_for.map(millis),
            record_age_ms = millis(report.record_age),
        );
    }
    let is_complete = quotas.contact.may_take_over(now);
    let is_changed = quotas.members.update(others, is_complete);
    quotas.owner.set_gaining(quotas.contact.has_joined(), now);
    if is_changed || quotas.contact.has_joined() != had_joined {
        quotas.update_owners(now);
    }
    if let Some(exchange) = settings.exchange {
        let members = state.members.borrow();
        let addresses = members.addresses();
        quotas.addresses = addresses
            .map(|(hash, addr)| (hash, SocketAddr::new(addr.ip(), exchange.port())))
            .collect();
    }
}

/// Applies a datagram about quotas.
pub fn receive<D: WireCodec>(state: &EdgeState<D>, from: SocketAddr, datagram: &[u8]) {
    let Some(message) = Message::decode(datagram) else {
        tracing::debug!(event = "quota_message_unreadable", %from);
        return;
    };
    let now = state.now();
    let mut quotas = state.quotas.borrow_mut();
    match message {
        Message::Ask {
            account,
            id,
            tokens,
            keep,
            is_partial,
            refused,
        } => {
            let ask = Ask {
                id,
                tokens,
                keep,
                is_partial,
                refused,
            };
            let grant = quotas.owner.grant(account, ask, now);
            if let Some(socket) = &quotas.socket {
                send_to(socket, from, Message::grant(account, id, grant));
            }
        }
        Message::Grant {
            account,
            id,
            tokens,
            is_owner,
            left,
            retry_s,
        } => {
            let grant = Grant {
                tokens,
                is_owner,
                left,
                retry_s,
            };
            let waiting = quotas.waiting.remove(&id);
            let is_lost = waiting.is_none_or(|tx| tx.send(grant).is_err());
            if is_lost
                && tokens > 0.0
                && let Some(socket) = &quotas.socket
            {
                send_to(socket, from, Message::Return { account, id });
            }
        }
        Message::Return { account, id } => {
            quotas.owner.give_back(account, id, now);
        }
    }
}

fn send_to(socket: &UdpSocket, to: SocketAddr, message: Message) {
    // A lost datagram loses tokens and adds none.
    if let Err(error) = socket.try_send_to(&message.encode(), to) {
        tracing::debug!(event = "quota_message_not_sent", %to, %error);
    }
}

/// Removes an ask that is no longer waited for.
struct Waiting<'a> {
    quotas: &'a RefCell<Quotas>,
    id: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.quotas.borrow_mut().waiting.remove(&self.id);
    }
}

/// Request that needs tokens.
#[derive(Debug, Clone, Copy)]
pub struct QuotaRequest<'a> {
    pub account: &'a Account,
    /// Tokens, see [`Account::quota_cost`].
    pub cost: f64,
    /// Whether its result cannot be on time any more.
    pub is_late: bool,
    /// Objective of its route.
    pub objective: Duration,
}

/// Gets the tokens of a request. Returns `None` if its account has no quota, and the failure of the
/// request if the quota does not allow it now.
pub async fn acquire<D: WireCodec>(
    state: &EdgeState<D>,
    request: QuotaRequest<'_>,
) -> Result<Option<QuotaTicket>, Failure> {
    let QuotaRequest { account, cost, .. } = request;
    let now = state.now();
    let max_wait = MAX_WAIT.min(request.objective / OBJECTIVE_PER_WAIT);
    let (mut ticket, mut round) = {
        let quotas = state.quotas.borrow();
        let Some(known) = quotas.accounts.get(&account.name) else {
            return Ok(None);
        };
        let life = known.asker.plan().life;
        let ticket = QuotaTicket::new(&state.quotas, state.monotonic_clock, known.hash, life);
        (ticket, Round::new(cost, request.is_late, max_wait, now))
    };
    loop {
        let now = state.now();
        let step = {
            let mut quotas = state.quotas.borrow_mut();
            let Some(known) = quotas.accounts.get_mut(&account.name) else {
                return Ok(None);
            };
            let step = known.asker.next(&mut round, now);
            match step {
                Step::Granted => known.used += cost,
                Step::Refused { retry } => known.record_refused(&account.name, cost, retry, now),
                Step::Ask { .. } => {}
            }
            step
        };
        match step {
            Step::Granted => return Ok(Some(ticket)),
            Step::Refused { retry } => return Err(over_quota(retry)),
            Step::Ask {
                owner,
                tokens,
                keep,
                is_partial,
                refused,
                max_wait,
            } => {
                let ask = Ask {
                    id: rand::random(),
                    tokens,
                    keep,
                    is_partial,
                    refused,
                };
                let grant = ask_owner(state, ticket.account, owner, ask, max_wait).await;
                let now = state.now();
                let mut quotas = state.quotas.borrow_mut();
                let Some(known) = quotas.accounts.get_mut(&account.name) else {
                    return Ok(None);
                };
                match grant {
                    Some(grant) => {
                        known.asker.record_answer(&mut round, owner, grant, now);
                        if grant.tokens > 0.0 {
                            ticket.parts.push((owner, ask.id));
                        }
                    }
                    None => {
                        known.unanswered += 1;
                        known.asker.record_silence(owner, now);
                    }
                }
            }
        }
    }
}

/// Returns the failure of a request that is refused. `retry` is the time after which its tokens are
/// expected, if they ever are.
fn over_quota(retry: Option<Duration>) -> Failure {
    Failure {
        status: StatusCode::TOO_MANY_REQUESTS,
        verdict: Verdict::NotRun,
        cause: OVER_QUOTA,
        retry_after: retry.map(|retry| {
            let ms = overload_retry_ms(retry.as_secs_f64() * 1e3);
            retry_after(ms, rand::random())
        }),
    }
}

/// Asks an owner for tokens. Returns `None` if it does not answer in time.
async fn ask_owner<D: WireCodec>(
    state: &EdgeState<D>,
    account: u64,
    owner: u64,
    ask: Ask,
    max_wait: Duration,
) -> Option<Grant> {
    let (tx, rx) = oneshot::channel();
    {
        let mut quotas = state.quotas.borrow_mut();
        if owner == quotas.members.own() {
            return Some(quotas.owner.grant(account, ask, state.now()));
        }
        if quotas.waiting.len() >= MAX_WAITING || !quotas.addresses.contains_key(&owner) {
            return None;
        }
        quotas.waiting.insert(ask.id, tx);
        quotas.send(owner, Message::ask(account, ask));
    }
    let _waiting = Waiting {
        quotas: &state.quotas,
        id: ask.id,
    };
    // The wait is extended while this instance itself is late.
    let answer = state
        .delay_monitor
        .timeout_within(max_wait, max_wait * 2, rx);
    answer.await.ok()?.ok()
}
