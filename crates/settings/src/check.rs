//! Validation rules that the types cannot express.

use std::collections::BTreeSet;

use error_stack::Report;

use crate::error::{Diagnostic, SettingsError};
use crate::model::{Limits, Route, SiteSettings};
use crate::tree::Node;

/// HTTP methods that a route may list.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Path prefixes of the model API, which the gateway serves itself.
const RESERVED_PATHS: [&str; 1] = ["/v1"];

/// Upper bound of `limits.max_body_bytes`: 64 MiB.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Checks all rules. The error lists every violation, sorted by location.
pub fn check(settings: &SiteSettings, tree: &Node) -> Result<(), Report<SettingsError>> {
    let mut checker = Checker {
        tree,
        diagnostics: Vec::new(),
    };
    checker.check_accounts(settings);
    checker.check_models(settings);
    checker.check_routes(&settings.routes);
    checker.check_upstreams(settings);
    checker.check_limits(&settings.limits);
    checker.check_intervals(settings);
    let mut diagnostics = checker.diagnostics;
    diagnostics.sort();
    if diagnostics.is_empty() {
        Ok(())
    } else {
        Err(Report::new(SettingsError { diagnostics }))
    }
}

struct Checker<'a> {
    tree: &'a Node,
    diagnostics: Vec<Diagnostic>,
}

impl Checker<'_> {
    /// Reports `message` for `key` unless `is_valid`.
    fn require(&mut self, is_valid: bool, key: &str, message: impl Into<String>) {
        if is_valid {
            return;
        }
        let origin = self.tree.origin_of(key);
        self.diagnostics.push(Diagnostic {
            origin,
            key: key.to_owned(),
            message: message.into(),
        });
    }

    /// Requires that the elements' names are not empty and differ from each other.
    fn require_unique<'a>(
        &mut self,
        list: &str,
        field: &str,
        names: impl Iterator<Item = &'a str>,
    ) {
        let mut seen = BTreeSet::new();
        for (i, name) in names.enumerate() {
            let key = format!("{list}[{i}].{field}");
            self.require(!name.is_empty(), &key, "must not be empty");
            self.require(seen.insert(name), &key, format!("`{name}` is a duplicate"));
        }
    }

    fn check_accounts(&mut self, settings: &SiteSettings) {
        self.require_unique(
            "accounts",
            "name",
            settings.accounts.iter().map(|a| &*a.name),
        );
        for (i, account) in settings.accounts.iter().enumerate() {
            let key = format!("accounts[{i}].share");
            self.require(account.share > 0, &key, "must be at least 1");
        }
    }

    fn check_models(&mut self, settings: &SiteSettings) {
        self.require_unique("models", "name", settings.models.iter().map(|m| &*m.name));
        for (i, model) in settings.models.iter().enumerate() {
            let key = format!("models[{i}].max_tokens");
            self.require(model.max_tokens > 0, &key, "must be at least 1");
        }
    }

    fn check_routes(&mut self, routes: &[Route]) {
        self.require_unique("routes", "path", routes.iter().map(|r| &*r.path));
        for (i, route) in routes.iter().enumerate() {
            let key = |field: &str| format!("routes[{i}].{field}");
            self.require(
                route.path.starts_with('/'),
                &key("path"),
                "must start with `/`",
            );
            let reserved = RESERVED_PATHS
                .iter()
                .any(|p| is_at_or_below(&route.path, p));
            self.require(!reserved, &key("path"), "is reserved for the model API");
            self.require(
                !route.methods.is_empty(),
                &key("methods"),
                "must list at least one method",
            );
            for (j, method) in route.methods.iter().enumerate() {
                let is_known = METHODS.contains(&&**method);
                let text = format!("`{method}` is not one of {}", METHODS.join(", "));
                self.require(is_known, &format!("routes[{i}].methods[{j}]"), text);
            }
            self.require(
                !route.service.is_empty(),
                &key("service"),
                "must not be empty",
            );
            let has_valid_header = route.idempotent || is_header_name(&route.idempotency_header);
            self.require(
                has_valid_header,
                &key("idempotency_header"),
                "must be an HTTP header name",
            );
            let is_protected = route.idempotent || !route.open;
            self.require(
                is_protected,
                &key("open"),
                "a non-idempotent route must require a key",
            );
            self.require(
                route.timeout_ms > 0,
                &key("timeout_ms"),
                "must be at least 1",
            );
        }
    }

    fn check_upstreams(&mut self, settings: &SiteSettings) {
        self.require_unique(
            "upstreams",
            "name",
            settings.upstreams.iter().map(|u| &*u.name),
        );
        for (i, upstream) in settings.upstreams.iter().enumerate() {
            let key = format!("upstreams[{i}].cost_per_hour");
            let is_valid = upstream.cost_per_hour.is_finite() && upstream.cost_per_hour >= 0.0;
            self.require(is_valid, &key, "must be a finite number and not negative");
        }
    }

    fn check_limits(&mut self, limits: &Limits) {
        let is_in_range = (1..=MAX_BODY_BYTES).contains(&limits.max_body_bytes);
        let text = format!("must be between 1 and {MAX_BODY_BYTES}");
        self.require(is_in_range, "limits.max_body_bytes", text);
        self.require(
            limits.max_queued > 0,
            "limits.max_queued",
            "must be at least 1",
        );
        let has_deadline = limits.queue_deadline_ms > 0;
        self.require(
            has_deadline,
            "limits.queue_deadline_ms",
            "must be at least 1",
        );
        let covers_keep_alive = limits.progress_timeout_ms >= 1_000;
        let text = "must be at least 1000, twice the keep-alive interval of sidecars";
        self.require(covers_keep_alive, "limits.progress_timeout_ms", text);
    }

    fn check_intervals(&mut self, settings: &SiteSettings) {
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
            "must be at least `planner.interval_s`",
        );
    }
}

/// Whether `path` equals `prefix` or continues it with a further segment.
fn is_at_or_below(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn is_header_name(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
}
