//! Command sessions after the log lost records, was reset, or expired records that no daemon
//! had read.

mod support;

use support::{TestBed, TestProxy};

/// Publishes `count` versions from the new folder `lists`.
fn publish_versions(bed: &TestBed, count: u32) {
    bed.run(&["init", "lists"]);
    for number in 0..count {
        if number > 0 {
            let from = format!("\"rate_per_s\": {}", 200 + number - 1);
            let to = format!("\"rate_per_s\": {}", 200 + number);
            bed.edit("lists/allowances.jsonc", &from, &to);
        }
        let published = bed.run(&["publish", "lists"]);
        assert_eq!(published.status.code(), Some(0));
    }
}

#[test]
fn a_folder_restores_the_lists_if_no_daemon_holds_any_and_the_first_records_expired() {
    let mut bed = TestBed::start();
    publish_versions(&bed, 4);
    bed.copy_dir("lists", "older");
    // Stands for a folder that was last updated at version 2 and may lack the later change.
    std::fs::write(bed.path("older/.quetzal-base"), "2\n").unwrap();
    bed.restart_daemon(|bed| {
        bed.expire_stream("config", 2);
        bed.expire_stream("snapshots", u64::MAX);
    });
    bed.await_status_text("records before 2 expired");
    let lines: [&[&str]; 8] = [
        &["publish", "lists"],
        &["pull", "fresh"],
        &["rebase"],
        &["rebase", "older"],
        &["rebase", "lists", "-m", "records expired"],
        &["rebase", "lists"],
        &["publish", "lists"],
        &["history"],
    ];
    let text: String = lines.iter().map(|line| bed.transcript(line)).collect();
    insta::assert_snapshot!(text);
    bed.await_status_text("configuration current");
    bed.edit(
        "lists/allowances.jsonc",
        "\"rate_per_s\": 203",
        "\"rate_per_s\": 300",
    );
    let next = bed.json(&["publish", "lists", "--json"]);
    assert_eq!(next["version"], "1005");
    assert_eq!(next["in_force"], 1);
}

/// Empties the log and restarts the daemon, which then remembers nothing.
fn reset_log(bed: &mut TestBed) {
    bed.restart_daemon(|bed| {
        bed.truncate_stream("config", 0);
        bed.truncate_stream("snapshots", 0);
    });
}

#[test]
fn a_folder_reveals_a_loss_that_no_daemon_remembers() {
    let mut bed = TestBed::start();
    publish_versions(&bed, 4);
    reset_log(&mut bed);
    bed.await_status_text("configuration current");
    let mut text = String::new();
    for line in [
        "publish lists",
        "pull lists",
        "diff lists",
        "rebase",
        "rebase lists",
    ] {
        text += &bed.transcript(&line.split(' ').collect::<Vec<_>>());
    }
    bed.await_status_text("configuration current");
    text += &bed.transcript(&["history"]);
    insta::assert_snapshot!(text);
}

#[test]
fn changes_published_on_a_new_log_are_reverted_only_with_force() {
    let mut bed = TestBed::start();
    publish_versions(&bed, 2);
    reset_log(&mut bed);
    bed.run(&["init", "new"]);
    bed.edit(
        "new/allowances.jsonc",
        "\"rate_per_s\": 200",
        "\"rate_per_s\": 7",
    );
    let mut text = bed.transcript(&["publish", "new", "--author", "omar"]);
    for line in [
        "publish lists",
        "rebase lists",
        "rebase lists --force",
        "pull new",
        "publish new",
    ] {
        text += &bed.transcript(&line.split(' ').collect::<Vec<_>>());
    }
    insta::assert_snapshot!(text);
    assert!(
        bed.read("lists/allowances.jsonc")
            .contains("\"rate_per_s\": 201")
    );
}

#[test]
fn a_folder_of_another_log_is_refused_even_if_this_log_is_longer() {
    let mut bed = TestBed::start();
    publish_versions(&bed, 2);
    bed.copy_dir("lists", "old");
    reset_log(&mut bed);
    std::fs::remove_dir_all(bed.path("lists")).unwrap();
    publish_versions(&bed, 4);
    let text: String = [
        "publish old",
        "pull old",
        "diff old",
        "rebase old",
        "rebase old --force",
    ]
    .iter()
    .map(|line| bed.transcript(&line.split(' ').collect::<Vec<_>>()))
    .collect();
    insta::assert_snapshot!(text);
}

#[test]
fn a_rebase_is_refused_while_daemons_do_not_report() {
    let mut bed = TestBed::start();
    publish_versions(&bed, 2);
    bed.restart_daemon(|bed| {
        bed.expire_stream("config", 1);
        bed.expire_stream("snapshots", u64::MAX);
    });
    bed.await_status_text("expired unread");
    let members = ("\"members\":1", "\"members\":3");
    let proxy = TestProxy::rewriting(bed.operator_address(), members.0, members.1);
    let address = proxy.address();
    let refused = bed.run(&["rebase", "lists", "--daemon", &address]);
    let errors = String::from_utf8(refused.stderr).unwrap();
    assert_eq!(refused.status.code(), Some(5), "{errors}");
    assert!(errors.contains("2 of 3 daemons do not report"), "{errors}");
    let forced = [
        "rebase", "lists", "--force", "--wait", "1", "--daemon", &address,
    ];
    // Exit code 6: accepted, but not in force on the missing daemons.
    assert_eq!(bed.run(&forced).status.code(), Some(6));
    bed.await_status_text("configuration current");
    assert_eq!(bed.json(&["history", "--json"])[0]["version"], "1002");
}
