//! Golden files of a merged session, as text and as a page.

mod session;

use quetzal_trace::{MergedTimeline, merge_reports, render_page, render_text};

fn line() -> MergedTimeline {
    merge_reports(session::publish_and_crash(), vec!["vm-3".into()])
}

#[test]
fn text_of_a_publish_and_a_crash() {
    insta::assert_snapshot!(render_text(&line()));
}

#[test]
fn page_of_a_publish_and_a_crash() {
    insta::assert_snapshot!(render_page(&line()).unwrap());
}

#[test]
fn the_page_needs_nothing_else_and_escapes_details() {
    let page = render_page(&line()).unwrap();
    for outside in ["<script", "href=", "src=", "url("] {
        assert!(!page.contains(outside), "{outside}");
    }
    assert!(page.contains("vm-3 &lt;no answer&gt;"));
    assert!(!page.contains("vm-3 <no answer>"));
}

#[test]
fn an_empty_line_renders() {
    let line = merge_reports(Vec::new(), Vec::new());
    assert_eq!(render_text(&line), "");
    assert!(render_page(&line).unwrap().contains("0 events"));
}
