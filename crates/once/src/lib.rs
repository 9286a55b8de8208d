//! At most once: idempotency keys, leases, permits and poison requests.
