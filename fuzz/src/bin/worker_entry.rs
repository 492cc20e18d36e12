//! Fuzz target for the entries that workers, and other writers, leave in the platform's store.
//!
//! No input may make the decoder panic, and an entry that names a worker has an address to call and figures whose sums
//! do not overflow.

use std::io::{self, Read};
use std::net::SocketAddrV4;

use adapter::decode_worker_entry;

fn main() -> io::Result<()> {
    let mut input = Vec::new();
    io::stdin().read_to_end(&mut input)?;
    if let Some(entry) = decode_worker_entry("i-1", &input) {
        assert!(
            entry
                .address
                .parse::<SocketAddrV4>()
                .is_ok_and(|address| address.port() != 0)
        );
        assert!(entry.capacity.is_valid());
        let times = [Some(entry.born_unix_ms), entry.remaining_ms];
        assert!(times.into_iter().flatten().all(|time_ms| time_ms < 1 << 53));
    }
    Ok(())
}
