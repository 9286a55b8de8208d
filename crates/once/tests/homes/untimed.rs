//! Untimed keys are refused unless the policy `OncePerWindow` allows them.

use super::*;

/// Renews the home's lease of the call's range.
fn renew(home: &mut KeyHome, call: &KeyCall, clock: &FakeClock) {
    home.on_term(held_term(clock, call.digest.range(), 1, 0, None));
    home.on_tick(Some(LogStamp::from(clock.wall())));
}

#[test]
fn untimed_key_never_begins_and_is_never_reported_as_not_run() {
    let clock = FakeClock::new();
    let mut home = home(&clock, 2, HomeSettings::default());
    // An earlier attempt may have reached a home with the other policy.
    let untimed = Some((ErrorKind::KeyUntimed, RunProof::SendingNotRun));
    let random = "6fa459ea-ee8a-4ca4-894e-db77e160355e";
    let uuid_v1 = "6fa459ea-ee8a-11ea-894e-db77e160355e";
    for text in ["order-1", random, uuid_v1, "1"] {
        let call = call(text.parse().expect("a valid key"), 1);
        for _ in 0..3 {
            renew(&mut home, &call, &clock);
            assert_eq!(refusal(&home.begin(&call)), untimed, "{text}");
            // No home can prove that the call never ran, so closing must not report that.
            let closed = match home.close(&call.key, call.digest) {
                CloseVerdict::Refused(refusal) => refusal,
                other => panic!("{text}: {other:?}"),
            };
            assert_eq!(Some((closed.error.kind, closed.proof)), untimed, "{text}");
            clock.advance(HomeSettings::default().window);
        }
    }
    assert_eq!(home.counts().keys, 0);
}

#[test]
fn once_per_window_policy_holds_for_one_window() {
    let clock = FakeClock::new();
    let settings = untimed_settings();
    let mut home = home(&clock, 2, settings);
    let call = call("order-1".parse().expect("a valid key"), 1);
    renew(&mut home, &call, &clock);
    run_to_end(&mut home, &call, 10);
    let begun = clock.now();
    while clock.now() - begun < settings.window {
        renew(&mut home, &call, &clock);
        assert!(matches!(home.begin(&call), KeyVerdict::Finished(_)));
        clock.advance(Duration::from_secs(10));
    }
}
