//! Renders a merged timeline as text and HTML and compares both with golden files.

mod session;

use quetzal_trace::{MergedTimeline, merge_reports, render_page, render_text};

fn timeline() -> MergedTimeline {
    merge_reports(session::publish_and_crash(), vec!["vm-3".into()])
}

#[test]
fn text_of_a_publish_and_a_crash() {
    insta::assert_snapshot!(render_text(&timeline()));
}

#[test]
fn page_of_a_publish_and_a_crash() {
    insta::assert_snapshot!(render_page(&timeline()).unwrap());
}

#[test]
fn the_page_is_self_contained_and_escapes_details() {
    let page = render_page(&timeline()).unwrap();
    for external in ["<script", "href=", "src=", "url("] {
        assert!(!page.contains(external), "{external}");
    }
    assert!(page.contains("vm-3 &lt;no answer&gt;"));
    assert!(!page.contains("vm-3 <no answer>"));
}

#[test]
fn an_empty_timeline_renders() {
    let timeline = merge_reports(Vec::new(), Vec::new());
    assert_eq!(render_text(&timeline), "");
    assert!(render_page(&timeline).unwrap().contains("0 events"));
}
