//! Rules that the types alone cannot express.

use std::collections::BTreeSet;

use error_stack::Report;

use crate::error::{Fault, SettingsError};
use crate::model::{Limits, Route, SiteSettings};
use crate::tree::Node;

/// Methods that a route may list.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Paths that the gateway serves itself.
const RESERVED_PATHS: [&str; 1] = ["/v1"];

/// Largest request body that may be configured, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Checks all rules and returns every fault at once.
pub fn check(settings: &SiteSettings, tree: &Node) -> Result<(), Report<SettingsError>> {
    let mut checker = Checker {
        tree,
        faults: Vec::new(),
    };
    checker.accounts(settings);
    checker.models(settings);
    checker.routes(&settings.routes);
    checker.upstreams(settings);
    checker.limits(&settings.limits);
    checker.periods(settings);
    let mut faults = checker.faults;
    faults.sort();
    if faults.is_empty() {
        Ok(())
    } else {
        Err(Report::new(SettingsError { faults }))
    }
}

struct Checker<'a> {
    tree: &'a Node,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn require(&mut self, holds: bool, key: &str, message: impl Into<String>) {
        if holds {
            return;
        }
        let origin = self.tree.origin_of(key);
        self.faults.push(Fault {
            origin,
            key: key.to_owned(),
            message: message.into(),
        });
    }

    fn unique<'a>(&mut self, list: &str, field: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (i, name) in names.enumerate() {
            let key = format!("{list}[{i}].{field}");
            self.require(!name.is_empty(), &key, "must not be empty");
            self.require(seen.insert(name), &key, format!("`{name}` stands twice"));
        }
    }

    fn accounts(&mut self, settings: &SiteSettings) {
        self.unique(
            "accounts",
            "name",
            settings.accounts.iter().map(|a| &*a.name),
        );
        for (i, account) in settings.accounts.iter().enumerate() {
            let key = format!("accounts[{i}].share");
            self.require(account.share > 0, &key, "must be at least 1");
        }
    }

    fn models(&mut self, settings: &SiteSettings) {
        self.unique("models", "name", settings.models.iter().map(|m| &*m.name));
        for (i, model) in settings.models.iter().enumerate() {
            let key = format!("models[{i}].max_tokens");
            self.require(model.max_tokens > 0, &key, "must be at least 1");
        }
    }

    fn routes(&mut self, routes: &[Route]) {
        self.unique("routes", "path", routes.iter().map(|r| &*r.path));
        for (i, route) in routes.iter().enumerate() {
            let key = |field: &str| format!("routes[{i}].{field}");
            self.require(
                route.path.starts_with('/'),
                &key("path"),
                "must start with `/`",
            );
            let reserved = RESERVED_PATHS.iter().any(|p| is_below(&route.path, p));
            self.require(!reserved, &key("path"), "is reserved for the model API");
            self.require(
                !route.methods.is_empty(),
                &key("methods"),
                "must name a method",
            );
            for (j, method) in route.methods.iter().enumerate() {
                let known = METHODS.contains(&&**method);
                let text = format!("`{method}` is not one of {}", METHODS.join(", "));
                self.require(known, &format!("routes[{i}].methods[{j}]"), text);
            }
            self.require(
                !route.service.is_empty(),
                &key("service"),
                "must not be empty",
            );
            let named = route.idempotent || is_header_name(&route.idempotency_header);
            self.require(
                named,
                &key("idempotency_header"),
                "must be an HTTP header name",
            );
            let closed = route.idempotent || !route.open;
            self.require(
                closed,
                &key("open"),
                "a non-idempotent route must need a key",
            );
            self.require(
                route.timeout_ms > 0,
                &key("timeout_ms"),
                "must be at least 1",
            );
        }
    }

    fn upstreams(&mut self, settings: &SiteSettings) {
        self.unique(
            "upstreams",
            "name",
            settings.upstreams.iter().map(|u| &*u.name),
        );
        for (i, upstream) in settings.upstreams.iter().enumerate() {
            let key = format!("upstreams[{i}].cost_per_hour");
            let valid = upstream.cost_per_hour.is_finite() && upstream.cost_per_hour >= 0.0;
            self.require(valid, &key, "must not be negative");
        }
    }

    fn limits(&mut self, limits: &Limits) {
        let fits = (1..=MAX_BODY_BYTES).contains(&limits.max_body_bytes);
        let text = format!("must be from 1 to {MAX_BODY_BYTES}");
        self.require(fits, "limits.max_body_bytes", text);
        self.require(
            limits.max_queued > 0,
            "limits.max_queued",
            "must be at least 1",
        );
        let deadline = limits.queue_deadline_ms > 0;
        self.require(deadline, "limits.queue_deadline_ms", "must be at least 1");
        let progress = limits.progress_timeout_ms >= 1_000;
        let text = "must be at least 1000, twice the keep-alive interval of sidecars";
        self.require(progress, "limits.progress_timeout_ms", text);
    }

    fn periods(&mut self, settings: &SiteSettings) {
        self.require(
            settings.usage.window_s > 0,
            "usage.window_s",
            "must be at least 1",
        );
        let (interval, horizon) = (settings.planner.interval_s, settings.planner.horizon_s);
        self.require(interval > 0, "planner.interval_s", "must be at least 1");
        self.require(
            horizon >= interval,
            "planner.horizon_s",
            "must not be below interval_s",
        );
    }
}

fn is_below(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn is_header_name(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
}
