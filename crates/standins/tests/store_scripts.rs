//! Script tests of the key-value service in virtual time.

use std::error::Error;
use std::str::FromStr;

use goldenscript::{Command, Context, Runner, run};
use platform::store::{KeyVersion, StoreLease, Swap};
use rstest::rstest;
use standins::store_core::StoreCore;

/// The service with its virtual clock.
#[derive(Debug, Default)]
struct StoreRunner {
    now_ms: u64,
    core: StoreCore,
}

impl Runner for StoreRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let first = args.next_pos().unwrap_or_default().to_owned();
        let output = match command.name.as_str() {
            "at" => {
                self.now_ms = first.parse()?;
                self.core.expire(self.now_ms);
                return Ok(String::new());
            }
            "get" => format!("{:?}", self.core.get(&first)),
            "list" => format!("{:?}", self.core.list(&first)),
            "swap" => {
                let len: Option<usize> = parse_arg(command, "len")?;
                let value: Option<String> = parse_arg(command, "value")?;
                let swap = Swap {
                    key: first,
                    expected: KeyVersion(parse_arg(command, "expected")?.unwrap_or(0)),
                    value: len.map(|len| "x".repeat(len)).or(value),
                    lease: parse_arg(command, "lease")?.map(StoreLease),
                };
                format!("{:?}", self.core.swap(swap))
            }
            "changes" => {
                let after = KeyVersion(parse_arg(command, "after")?.unwrap_or(0));
                format!("{:?}", self.core.changes(&first, after))
            }
            "grant" => format!("{:?}", self.core.grant_lease(self.now_ms, first.parse()?)),
            "renew" => {
                let lease = StoreLease(first.parse()?);
                format!("{:?}", self.core.renew_lease(self.now_ms, lease))
            }
            other => return Err(format!("no command {other}").into()),
        };
        Ok(output + "\n")
    }
}

/// Parses the argument `key` of a command.
fn parse_arg<T: FromStr<Err: Error + 'static>>(
    command: &Command,
    key: &str,
) -> Result<Option<T>, Box<dyn Error>> {
    let value = command.consume_args().take_key(key);
    Ok(value.map(str::parse).transpose()?)
}

#[rstest]
#[case::swaps("swaps")]
#[case::leases("leases")]
fn scripts_store(#[case] name: &str) {
    run(
        &mut StoreRunner::default(),
        format!("tests/scripts/store/{name}"),
    )
    .unwrap();
}
