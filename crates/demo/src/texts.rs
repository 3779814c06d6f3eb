//! Configuration of the demo's site.

use std::path::Path;

use error_stack::Report;
use nutmegbay_settings::model::{Route, SiteSettings};
use nutmegbay_settings::{Site, Source, parse_process};
use serde_json::{Value, json};

use crate::error::DemoError;

/// Site of the example files that runs by default.
pub const DEFAULT_SITE: &str = "anthokartes";

/// Model that the demo adds to show that a publish comes into force.
pub const ADDED_MODEL: &str = "demo-added";

/// Usage window of the built-in configuration in seconds; short, so that windows end while the
/// demo runs.
const WINDOW_S: u64 = 2;

/// Published texts of one site.
#[derive(Debug, Clone)]
pub struct Texts {
    /// Name of the site.
    pub site: Box<str>,
    /// Base.
    pub base: Box<str>,
    /// Overlay.
    pub overlay: Box<str>,
}

impl Texts {
    /// Built-in copy of the example files, with short usage windows.
    pub fn built_in() -> Result<Self, Report<DemoError>> {
        let texts = Self {
            site: DEFAULT_SITE.into(),
            base: include_str!("../../../examples/base.jsonc").into(),
            overlay: include_str!("../../../examples/anthokartes.jsonc").into(),
        };
        texts.changed(|base| base["usage"] = json!({ "window_s": WINDOW_S, "grace_s": 1 }))
    }

    /// Reads `base.jsonc` and `SITE.jsonc` in `dir`.
    pub fn read(dir: &Path, site: &str) -> Result<Self, Report<DemoError>> {
        let read = |name: String| {
            let path = dir.join(name);
            std::fs::read_to_string(&path)
                .map(String::into_boxed_str)
                .map_err(|e| bad(format!("{}: {e}", path.display())))
        };
        Ok(Self {
            site: site.into(),
            base: read("base.jsonc".to_owned())?,
            overlay: read(format!("{site}.jsonc"))?,
        })
    }

    /// The same texts with a base that is changed by `change`; comments get lost.
    pub fn changed(&self, change: impl FnOnce(&mut Value)) -> Result<Self, Report<DemoError>> {
        let source = Source {
            name: "base",
            text: &self.base,
        };
        let mut base: Value = parse_process(source).map_err(|e| bad(e.current_context()))?;
        change(&mut base);
        Ok(Self {
            base: base.to_string().into(),
            ..self.clone()
        })
    }

    /// The same texts with one more model.
    pub fn with_added_model(&self) -> Result<Self, Report<DemoError>> {
        let model = json!({ "name": ADDED_MODEL, "version": "1", "max_tokens": 16 });
        self.changed(|base| {
            if let Some(models) = base["models"].as_array_mut() {
                models.push(model);
            }
        })
    }

    /// Merged settings.
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
            Err(report) => Err(bad(report.current_context())),
        }
    }
}

/// What the demo exercises of a site's settings.
#[derive(Debug, Clone)]
pub struct Scope {
    /// Client account of the background traffic.
    pub account: Box<str>,
    /// Client account whose key is withdrawn.
    pub other_account: Box<str>,
    /// Client account whose usage is compared with the reports.
    pub billed_account: Box<str>,
    /// Model.
    pub model: Box<str>,
    /// Most tokens of one answer.
    pub max_tokens: u32,
    /// Non-idempotent route.
    pub place: Route,
    /// Idempotent route to the same service.
    pub status: Route,
}

impl Scope {
    /// Chooses accounts, a model and routes of `site`.
    pub fn of(site: &SiteSettings) -> Result<Self, Report<DemoError>> {
        let missing = |what: &str| bad(format!("the demo needs {what}"));
        let [account, other, billed, ..] = &*site.accounts else {
            return Err(missing("three client accounts"));
        };
        let model = site.models.first().ok_or_else(|| missing("a model"))?;
        let places = |route: &&Route| !route.idempotent && !route.open;
        let place = site.routes.iter().find(places);
        let place = place.ok_or_else(|| missing("a non-idempotent route"))?;
        let reads = |route: &&Route| {
            let gets = route.methods.iter().any(|method| &**method == "GET");
            gets && route.idempotent && !route.open && route.service == place.service
        };
        let status = site.routes.iter().find(reads);
        let status = status.ok_or_else(|| missing("an idempotent GET route to its service"))?;
        Ok(Self {
            account: account.name.clone(),
            other_account: other.name.clone(),
            billed_account: billed.name.clone(),
            model: model.name.clone(),
            max_tokens: model.max_tokens,
            place: place.clone(),
            status: status.clone(),
        })
    }
}

#[expect(clippy::needless_pass_by_value, reason = "a function for `map_err`")]
fn bad(text: impl ToString) -> Report<DemoError> {
    Report::new(DemoError::Texts(text.to_string().into()))
}
