//! Configuration of the demo. Guards against example files that the demo cannot run.

use std::path::Path;

use nutmegbay_demo::DemoError;
use nutmegbay_demo::texts::{ADDED_MODEL, Scope, Texts};

fn examples() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"))
}

#[test]
fn both_sites() {
    for (site, place) in [("anthokartes", "/orders"), ("rastrillo", "/bookings")] {
        let texts = Texts::read(examples(), site).unwrap();
        let scope = Scope::of(&texts.settings().unwrap()).unwrap();
        assert_eq!(&*scope.place.path, place);
        assert_eq!(scope.place.service, scope.status.service);
        assert_ne!(scope.account, scope.other_account);
    }
}

#[test]
fn added_model() {
    let texts = Texts::built_in().unwrap();
    let names = |texts: &Texts| -> Vec<Box<str>> {
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
fn unknown_site() {
    let report = Texts::read(examples(), "elsewhere").unwrap_err();
    assert!(
        matches!(report.current_context(), DemoError::Texts(text) if text.contains("elsewhere.jsonc"))
    );
}

#[test]
fn unfit_site() {
    let texts = Texts::built_in().unwrap();
    let mut settings = texts.settings().unwrap();
    settings.routes.retain(|route| route.idempotent);
    let report = Scope::of(&settings).unwrap_err();
    assert!(
        report
            .current_context()
            .to_string()
            .contains("non-idempotent")
    );
}
