//! Configuration of the demo's site and the parts of it that the demo exercises.

use std::path::Path;

use error_stack::Report;
use nutmegbay_settings::model::{Route, SiteSettings};
use nutmegbay_settings::{Site, Source, parse_process};
use serde_json::{Value, json};

use crate::error::DemoError;

/// Site of the example files that is run by default.
pub const DEFAULT_SITE: &str = "anthokartes";

/// Model that the demo adds to check that gateways apply a publish.
pub const ADDED_MODEL: &str = "demo-added";

/// Usage window of the built-in configuration in seconds; short, so that windows end while the
/// demo runs.
const WINDOW_S: u64 = 2;

/// Base and overlay of one site as they are published.
#[derive(Debug, Clone)]
pub struct ConfigTexts {
    /// Name of the site.
    pub site: Box<str>,
    /// Text of the base, JSON with comments.
    pub base: Box<str>,
    /// Text of the overlay, JSON with comments.
    pub overlay: Box<str>,
}

impl ConfigTexts {
    /// Returns the built-in copy of the example files, with short usage windows.
    pub fn built_in() -> Result<Self, Report<DemoError>> {
        let texts = Self {
            site: DEFAULT_SITE.into(),
            base: include_str!("../../../examples/base.jsonc").into(),
            overlay: include_str!("../../../examples/anthokartes.jsonc").into(),
        };
        texts
            .with_changed_base(|base| base["usage"] = json!({ "window_s": WINDOW_S, "grace_s": 1 }))
    }

    /// Reads `base.jsonc` and `SITE.jsonc` from `dir`.
    pub fn read(dir: &Path, site: &str) -> Result<Self, Report<DemoError>> {
        let read = |name: String| {
            let path = dir.join(name);
            std::fs::read_to_string(&path)
                .map(String::into_boxed_str)
                .map_err(|e| config_error(format!("{}: {e}", path.display())))
        };
        Ok(Self {
            site: site.into(),
            base: read("base.jsonc".to_owned())?,
            overlay: read(format!("{site}.jsonc"))?,
        })
    }

    /// Returns a copy whose base is modified by `change`. The base loses its comments.
    pub fn with_changed_base(
        &self,
        change: impl FnOnce(&mut Value),
    ) -> Result<Self, Report<DemoError>> {
        let source = Source {
            name: "base",
            text: &self.base,
        };
        let mut base: Value =
            parse_process(source).map_err(|e| config_error(e.current_context()))?;
        change(&mut base);
        Ok(Self {
            base: base.to_string().into(),
            ..self.clone()
        })
    }

    /// Returns a copy with the model [`ADDED_MODEL`].
    pub fn with_added_model(&self) -> Result<Self, Report<DemoError>> {
        let model = json!({ "name": ADDED_MODEL, "version": "1", "max_tokens": 16 });
        self.with_changed_base(|base| {
            if let Some(models) = base["models"].as_array_mut() {
                models.push(model);
            }
        })
    }

    /// Returns the settings of the site, merged and validated.
    pub fn settings(&self) -> Result<SiteSettings, Report<DemoError>> {
        let base = Source {
            name: "base.jsonc",
            text: &self.base,
        };
        let overlay = Source {
            name: "overlay",
            text: &self.overlay,
        };
        match Site::load(base, Some(overlay)) {
            Ok(site) => Ok(site.settings),
            Err(report) => Err(config_error(report.current_context())),
        }
    }
}

/// Accounts, model and routes of a site that the demo exercises.
#[derive(Debug, Clone)]
pub struct DemoTargets {
    /// Client account of the background traffic.
    pub account: Box<str>,
    /// Client account whose key is withdrawn.
    pub other_account: Box<str>,
    /// Client account whose usage is compared with the reports.
    pub billed_account: Box<str>,
    /// Name of the model that is called.
    pub model: Box<str>,
    /// Maximum number of tokens of one answer of the model.
    pub max_tokens: u32,
    /// Non-idempotent route, to which orders are sent.
    pub order_route: Route,
    /// Idempotent GET route to the same service.
    pub status_route: Route,
}

impl DemoTargets {
    /// Selects the first accounts, model and routes of `site` that fit. Fails with
    /// [`DemoError::Config`] if one is missing.
    pub fn select(site: &SiteSettings) -> Result<Self, Report<DemoError>> {
        let missing = |what: &str| config_error(format!("the demo needs {what}"));
        let [account, other, billed, ..] = &*site.accounts else {
            return Err(missing("three client accounts"));
        };
        let model = site.models.first().ok_or_else(|| missing("a model"))?;
        let is_order_route = |route: &&Route| !route.idempotent && !route.open;
        let order_route = site.routes.iter().find(is_order_route);
        let order_route = order_route.ok_or_else(|| missing("a non-idempotent route"))?;
        let is_status_route = |route: &&Route| {
            let allows_get = route.methods.iter().any(|method| &**method == "GET");
            allows_get && route.idempotent && !route.open && route.service == order_route.service
        };
        let status_route = site.routes.iter().find(is_status_route);
        let status_route =
            status_route.ok_or_else(|| missing("an idempotent GET route to its service"))?;
        Ok(Self {
            account: account.name.clone(),
            other_account: other.name.clone(),
            billed_account: billed.name.clone(),
            model: model.name.clone(),
            max_tokens: model.max_tokens,
            order_route: order_route.clone(),
            status_route: status_route.clone(),
        })
    }
}

#[expect(clippy::needless_pass_by_value, reason = "a function for `map_err`")]
fn config_error(text: impl ToString) -> Report<DemoError> {
    Report::new(DemoError::Config(text.to_string().into()))
}
