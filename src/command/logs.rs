//! The command `explain` with `--logs`, which reads a folder of host logs.

use std::{
    fs,
    io,
    path::Path, //
};

use crate::{
    cli::Question,
    command::{
        CommandError,
        Context, //
    },
    explain::timeline::{
        self,
        HostLog, //
    },
};

/// Prints the log lines about one request, or every change of the hosts' state that was logged.
pub(super) fn explain(
    cx: &mut Context<'_>,
    folder: &Path,
    question: &Question,
) -> Result<(), CommandError> {
    let logs = read(folder).map_err(|cause| CommandError::Logs {
        folder: folder.to_owned(),
        cause,
    })?;
    let Some(id) = &question.id else {
        return cx.printer.list(&timeline::state_changes(&logs));
    };
    let lines = timeline::request_timeline(&logs, id);
    if lines.is_empty() {
        return Err(CommandError::NoLines {
            id: id.clone(),
            folder: folder.to_owned(),
        });
    }
    cx.printer.list(&lines)
}

/// Reads all files of a folder, sorted by host; the host is the file name without its extension.
fn read(folder: &Path) -> io::Result<Vec<HostLog>> {
    let mut logs = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if !path.is_file() {
            continue;
        }
        let name = path.file_stem().unwrap_or_default();
        logs.push(HostLog {
            host: name.to_string_lossy().into_owned(),
            // A truncated log can end in the middle of a UTF-8 character.
            text: String::from_utf8_lossy(&fs::read(&path)?).into_owned(),
        });
    }
    logs.sort_by(|a, b| a.host.cmp(&b.host));
    Ok(logs)
}
