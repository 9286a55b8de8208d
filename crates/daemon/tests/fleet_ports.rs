//! Choice of ports for a fleet of daemon processes.
//!
//! A check that binds the port can make a daemon's own bind fail: a process that another thread
//! starts at that moment keeps the socket open until its `exec`.

mod fleet;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use fleet::is_unused;

/// Number of times that the port is bound during checks of another thread.
const BINDS: usize = 5_000;
/// Threads that check the port.
const CHECKERS: usize = 2;

#[test]
fn a_port_can_be_bound_while_it_is_checked() {
    let ports = fleet::free_ports();
    let address: SocketAddr = ports[0];
    let done = AtomicBool::new(false);
    let failures = thread::scope(|scope| {
        for _ in 0..CHECKERS {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    is_unused(address);
                }
            });
        }
        let failures = (0..BINDS)
            .filter(|_| TcpListener::bind(address).is_err())
            .count();
        done.store(true, Ordering::Relaxed);
        failures
    });
    assert_eq!(failures, 0, "of {BINDS} binds");
}

#[test]
fn a_port_with_a_listener_is_in_use() {
    let [address, ..] = fleet::free_ports();
    assert!(is_unused(address));
    let listener = TcpListener::bind(address).unwrap();
    assert!(!is_unused(address));
    drop(listener);
    assert!(is_unused(address));
}
