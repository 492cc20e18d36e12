//! The stand-ins of the review's scripts, and what the scripts do.
//!
//!     standins case NAME FOLDER     plays a case; 0: the rule held, 1: it was broken, 2: the case could not run
//!     standins store ADDRESS | worker ...   a stand-in, started by a case

mod cases;
mod http;
mod json;
mod proxy;
mod site;
mod store;
mod worker;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::process;
use std::thread;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["case", name, folder] => process::exit(cases::play(name, folder.as_ref())),
        ["store", address] => {
            end_with_parent();
            store::run(TcpListener::bind(address).expect("the store's address"));
        }
        ["worker", id, kind, listen, advertised, store, rack, events] => {
            end_with_parent();
            let address = |text: &str| text.parse::<SocketAddr>().expect("an address");
            worker::run(worker::Options {
                id: id.to_string(),
                listen: address(listen),
                advertised: address(advertised),
                store: address(store),
                rack: rack.to_string(),
                kind: kind.to_string(),
                events: events.to_string(),
            });
        }
        _ => {
            eprintln!("usage: standins case NAME FOLDER");
            process::exit(2);
        }
    }
}

/// Ends this process once its standard input is closed, which its parent's end does.
fn end_with_parent() {
    thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        process::exit(0);
    });
}
