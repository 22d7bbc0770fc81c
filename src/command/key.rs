//! The commands `key new`, `key withdraw` and `key withdrawn`.

use std::fmt;

use serde::Serialize;

use crate::{
    cli::{
        KeyCommand,
        WithdrawArguments, //
    },
    command::{
        CommandError,
        Context, //
    },
    config::object::Key,
    publish::{
        reader::load_set,
        withdrawn::{
            read_withdrawn,
            withdraw_key, //
        },
    },
    util::id::KeyDigest,
};

/// Number of random bytes in a key; its text has two hex digits for each.
const KEY_BYTES: usize = 24;

/// Output of `key new`: the key and the object to add to the set.
#[derive(Serialize)]
struct NewKey {
    /// The key in clear text; it is printed once and not stored.
    key: String,
    /// Object to add to the set; it holds only the key's digest.
    object: Key,
}

impl fmt::Display for NewKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Key {
            name,
            organisation,
            digest,
        } = &self.object;
        writeln!(f, "# The key, shown this once: {}", self.key)?;
        writeln!(f, "# Add this to the set and apply it:")?;
        writeln!(f, "[[key]]")?;
        writeln!(f, "name = \"{name}\"")?;
        writeln!(f, "organisation = \"{organisation}\"")?;
        write!(f, "digest = \"{digest}\"")
    }
}

/// Output of `key withdraw`.
#[derive(Serialize)]
struct WithdrawResult {
    digest: KeyDigest,
    /// False if the key had already been withdrawn.
    new: bool,
}

impl fmt::Display for WithdrawResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = if self.new { "" } else { " before" };
        write!(f, "key {} was withdrawn{before}", self.digest)
    }
}

/// Runs a `key` subcommand.
pub(super) async fn run(cx: &mut Context<'_>, command: KeyCommand) -> Result<(), CommandError> {
    match command {
        KeyCommand::New { name, organisation } => {
            let key = generate_key();
            let digest = KeyDigest::of(key.as_bytes());
            let object = Key {
                name,
                organisation,
                digest,
            };
            cx.printer.print(&NewKey { key, object })
        }
        KeyCommand::Withdraw(args) => {
            let digest = find_digest(cx, args).await?;
            let (store, _) = cx.store()?;
            let new = withdraw_key(&store, digest).await?;
            cx.printer.print(&WithdrawResult { digest, new })
        }
        KeyCommand::Withdrawn => {
            let (store, _) = cx.store()?;
            let withdrawn = read_withdrawn(&store).await?;
            let digests: Vec<_> = withdrawn.iter().copied().collect();
            cx.printer.list(&digests)
        }
    }
}

/// Returns the digest to withdraw, looked up in the set in force if only a name is given.
async fn find_digest(cx: &Context<'_>, args: WithdrawArguments) -> Result<KeyDigest, CommandError> {
    if let Some(digest) = args.digest {
        return Ok(digest);
    }
    let (store, address) = cx.store()?;
    let found = load_set(&store).await?;
    let (_, set) = found.ok_or(CommandError::NothingPublished(address))?;
    let named = set
        .keys
        .iter()
        .find(|key| Some(&key.name) == args.name.as_ref());
    match (named, args.name) {
        (Some(key), _) => Ok(key.digest),
        (None, Some(name)) => Err(CommandError::NoSuchObject { kind: "key", name }),
        (None, None) => Err(CommandError::NothingPublished(address)),
    }
}

/// Returns a random key as lower-case hex digits.
fn generate_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::random();
    let mut key = String::with_capacity(2 * KEY_BYTES);
    for b in bytes {
        key.push_str(&format!("{b:02x}"));
    }
    key
}
