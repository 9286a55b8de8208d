//! Lookup of calls in the route table.

mod support;

use model::{ConfigVersion, ErrorKind, LogOffset};
use quetzal_plans::{ConfigLists, RouteTable};
use support::{set_rate, template_lists, template_log};

fn table() -> RouteTable {
    RouteTable::build(&template_log().state())
}

fn error_kind(customer: &str, key: &str, method: &str, path: &str) -> ErrorKind {
    table().admit(customer, key, method, path).unwrap_err().kind
}

#[test]
fn an_allowed_call_gets_service_method_and_limits() {
    let table = table();
    let grant = table
        .admit("agency-nour", "change-me", "POST", "/deals/7?x=/../y")
        .unwrap();
    assert_eq!(grant.service.name.as_str(), "deals");
    assert!(!grant.method.idempotent);
    assert!((grant.allowance.rate.0 - 50.0).abs() < f64::EPSILON);
    assert_eq!(grant.allowance.calls_at_once.0, 20);
    assert_eq!(table.version(), ConfigVersion::at(LogOffset(0)));
}

#[test]
fn other_calls_fail_with_the_matching_kind() {
    let unknown = ErrorKind::CustomerUnknown;
    assert_eq!(error_kind("agency-none", "", "GET", "/deals"), unknown);
    assert_eq!(error_kind("agency-nour", "", "GET", "/deals"), unknown);
    assert_eq!(
        error_kind("agency-nour", "change-mf", "GET", "/deals"),
        unknown
    );
    assert_eq!(
        error_kind("agency-salma", "", "GET", "/dealsx"),
        ErrorKind::RouteUnknown
    );
    assert_eq!(
        error_kind("agency-salma", "", "PUT", "/deals"),
        ErrorKind::MethodUnknown
    );
    assert_eq!(
        error_kind("agency-salma", "", "get", "/deals"),
        ErrorKind::MethodUnknown
    );
    assert_eq!(
        error_kind("agency-tarek", "", "POST", "/deals"),
        ErrorKind::PlanForbids
    );
    assert_eq!(
        error_kind("agency-tarek", "", "GET", "/studio"),
        ErrorKind::PlanForbids
    );
}

#[test]
fn paths_match_on_whole_segments_only() {
    let table = table();
    let service = |path| {
        table
            .route(path)
            .map(|route| route.service.name.to_string())
    };
    let deals = Some("deals".to_owned());
    assert_eq!(service("/deals"), deals);
    assert_eq!(service("/deals/"), deals);
    assert_eq!(service("/deals/7/payout?to=x#y"), deals);
    let others = [
        "", "/", "deals", "/deal", "/Deals", "//deals", "/x/deals", "?/deals",
    ];
    for path in others {
        assert_eq!(service(path), None, "{path}");
    }
}

#[test]
fn ambiguous_paths_match_no_route() {
    let table = table();
    let paths = [
        "/catalog/../deals",
        "/catalog/./x",
        "/catalog/%2e%2E/deals",
        "/catalog/..%2fdeals",
        "/catalog/%5c../deals",
        "/catalog\\..\\deals",
    ];
    for path in paths {
        assert!(table.route(path).is_none(), "{path}");
    }
    assert!(table.route("/catalog/a..b/%20").is_some());
}

#[test]
fn a_service_at_the_root_matches_every_path() {
    let plans = r#"{ "customers": { "shop": { "plan": "all" } } }"#;
    let allowances = r#"{
  "services": {
    "site": { "path": "/", "timeout_ms": 9, "methods": { "GET": { "idempotent": true } } }
  },
  "plans": { "all": { "site": { "methods": ["GET"], "rate_per_s": 1, "calls_at_once": 1 } } }
}"#;
    let lists = ConfigLists::parse(plans, allowances).unwrap();
    let table = RouteTable::from_lists(ConfigVersion::NONE, &lists);
    for path in ["/", "/a", "/a/b?c"] {
        assert!(table.admit("shop", "any", "GET", path).is_ok(), "{path}");
    }
}

#[test]
fn an_existing_table_keeps_its_limits() {
    let old = table();
    let mut lists = template_lists();
    lists.set_entry(&set_rate("gold", "deals", 7));
    let new = RouteTable::from_lists(ConfigVersion::at(LogOffset(1)), &lists);
    let rate = |table: &RouteTable| {
        let grant = table.admit("agency-salma", "", "GET", "/deals").unwrap();
        grant.allowance.rate.0 as u32
    };
    assert_eq!((rate(&old), rate(&new)), (50, 7));
    assert!(old.version() < new.version());
}
