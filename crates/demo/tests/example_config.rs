//! Guards against example files that the demo cannot run.

use std::path::Path;

use nutmegbay_demo::DemoError;
use nutmegbay_demo::config::{ADDED_MODEL, ConfigTexts, DemoTargets};

fn examples() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"))
}

#[test]
fn example_sites_have_targets() {
    for (site, order_path) in [("anthokartes", "/orders"), ("rastrillo", "/bookings")] {
        let texts = ConfigTexts::read(examples(), site).unwrap();
        let targets = DemoTargets::select(&texts.settings().unwrap()).unwrap();
        assert_eq!(&*targets.order_route.path, order_path);
        assert_eq!(targets.order_route.service, targets.status_route.service);
        assert_ne!(targets.account, targets.other_account);
    }
}

#[test]
fn added_model_is_in_settings() {
    let texts = ConfigTexts::built_in().unwrap();
    let names = |texts: &ConfigTexts| -> Vec<Box<str>> {
        texts
            .settings()
            .unwrap()
            .models
            .iter()
            .map(|model| model.name.clone())
            .collect()
    };
    assert!(!names(&texts).contains(&ADDED_MODEL.into()));
    assert!(names(&texts.with_added_model().unwrap()).contains(&ADDED_MODEL.into()));
}

#[test]
fn missing_overlay_is_named() {
    let report = ConfigTexts::read(examples(), "elsewhere").unwrap_err();
    assert!(
        matches!(report.current_context(), DemoError::Config(text) if text.contains("elsewhere.jsonc"))
    );
}

#[test]
fn site_without_order_route() {
    let texts = ConfigTexts::built_in().unwrap();
    let mut settings = texts.settings().unwrap();
    settings.routes.retain(|route| route.idempotent);
    let report = DemoTargets::select(&settings).unwrap_err();
    assert!(
        report
            .current_context()
            .to_string()
            .contains("non-idempotent")
    );
}
