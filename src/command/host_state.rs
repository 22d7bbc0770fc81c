//! The command `status`, and `explain` with `--host`.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr, //
};

use serde::Serialize;
use serde_json::Value;

use crate::{
    cli::{
        Output,
        Question,
        StatusArguments, //
    },
    command::{
        CommandError,
        Context, //
        host_client::{
            get_from_host,
            host_error, //
        },
    },
    explain::{
        Decision,
        Record, //
    },
    publish::{
        PublishError,
        head::WriteId,
        read_head,
        withdrawn::read_withdrawn, //
    },
    store::{
        ListedHost,
        ListedState,
        ObjectStore, //
    },
    util::id::Generation,
};

/// Output of `status` without `--host`: the published configuration and the platform's host list.
#[derive(Serialize)]
struct Status {
    generation: Option<Generation>,
    write_id: Option<String>,
    chunks: usize,
    withdrawn_keys: usize,
    hosts: Vec<ListedHost>,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.generation, &self.write_id) {
            (Some(generation), Some(id)) => {
                write!(
                    f,
                    "generation {generation} (write {id}, {} chunks)",
                    self.chunks
                )?;
            }
            _ => write!(f, "nothing is published yet")?,
        }
        write!(f, "\n{} withdrawn keys", self.withdrawn_keys)?;
        write!(f, "\n{} hosts in the platform's list", self.hosts.len())?;
        for host in &self.hosts {
            let state = match host.state {
                ListedState::Live => "live",
                ListedState::Leaving => "leaving",
            };
            write!(f, "\n  {} in {}: {state}", host.name, host.zone)?;
            write!(f, ", callers {}, peers {}", host.callers, host.peers)?;
        }
        Ok(())
    }
}

/// Prints the status of one host, or that of the store if no host is given.
pub(super) async fn status(
    cx: &mut Context<'_>,
    args: &StatusArguments,
) -> Result<(), CommandError> {
    match args.host {
        Some(host) => host_status(cx, host).await,
        None => store_status(cx).await,
    }
}

async fn store_status(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let (store, _) = cx.store()?;
    let head = read_head(&store).await?.map(|at| at.head);
    let generation = head.as_ref().map(|head| head.generation());
    let id = head.as_ref().zip(generation);
    let id = id.and_then(|(head, generation)| head.write_of(generation));
    let status = Status {
        generation,
        write_id: id.as_ref().map(WriteId::to_string),
        chunks: head.map_or(0, |head| head.manifest.all_chunks().count()),
        withdrawn_keys: read_withdrawn(&store).await?.len(),
        hosts: store.hosts().await.map_err(PublishError::Store)?,
    };
    cx.printer.print(&status)
}

async fn host_status(cx: &mut Context<'_>, host: SocketAddr) -> Result<(), CommandError> {
    let answer = get_from_host(host, "/status").await?;
    let status: Value = serde_json::from_slice(&answer).map_err(|e| host_error(host, &e))?;
    match cx.output {
        Output::Json => cx.printer.print(&status),
        Output::Text => cx.printer.raw(to_lines(&status).as_bytes()),
    }
}

/// Returns one `path: value` line for each scalar of a JSON value.
fn to_lines(value: &Value) -> String {
    let mut lines = String::new();
    flatten("", value, &mut lines);
    lines
}

/// Appends the lines of a value found at a path, which is empty at the root.
fn flatten(path: &str, value: &Value, lines: &mut String) {
    let inner = |key: &str| {
        let separator = if path.is_empty() { "" } else { "." };
        format!("{path}{separator}{key}")
    };
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                flatten(&inner(key), value, lines);
            }
        }
        Value::Array(values) => {
            for (i, value) in values.iter().enumerate() {
                flatten(&inner(&i.to_string()), value, lines);
            }
        }
        Value::String(text) => lines.push_str(&format!("{path}: {text}\n")),
        other => lines.push_str(&format!("{path}: {other}\n")),
    }
}

/// Prints the recorded decisions of a host that match the query.
pub(super) async fn explain(
    cx: &mut Context<'_>,
    host: SocketAddr,
    question: &Question,
) -> Result<(), CommandError> {
    let answer = get_from_host(host, &explain_target(question)).await?;
    let records = Record::from_json_lines(&answer).map_err(|e| host_error(host, &e))?;
    cx.printer.list(&records)?;
    if cx.output == Output::Json {
        return Ok(());
    }
    if records.is_empty() {
        return cx
            .printer
            .raw(b"nothing is recorded; the host keeps only the latest decisions\n");
    }
    if question.refusals {
        return cx.printer.raw(count(&records).as_bytes());
    }
    Ok(())
}

/// Returns the path and query of the request to the host.
fn explain_target(question: &Question) -> String {
    match &question.request {
        Some(id) => format!("/explain?request={id}"),
        None if question.refusals => "/explain?refusals".to_owned(),
        None => "/explain?plan".to_owned(),
    }
}

/// Returns a line for each refusal reason with its number of records.
fn count(records: &[Record]) -> String {
    let mut counts = BTreeMap::new();
    for record in records {
        if let Decision::Refused { reason, .. } = &record.decision {
            *counts.entry(*reason).or_insert(0) += 1;
        }
    }
    let mut text = String::new();
    for (reason, count) in counts {
        text.push_str(&format!("{count} refused as {reason}\n"));
    }
    text
}
