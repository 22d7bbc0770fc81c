//! The command `explain` over a folder of logs.

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
    explain::story::{
        self,
        HostLog, //
    },
};

/// Prints the story of a request, or of all changed beliefs.
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
        return cx.printer.list(&story::of_beliefs(&logs));
    };
    let lines = story::of_request(&logs, id);
    if lines.is_empty() {
        return Err(CommandError::NoLines {
            id: id.clone(),
            folder: folder.to_owned(),
        });
    }
    cx.printer.list(&lines)
}

/// Reads all files of a folder in the order of their names.
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
            // A line may have been cut in the middle of a character.
            text: String::from_utf8_lossy(&fs::read(&path)?).into_owned(),
        });
    }
    logs.sort_by(|a, b| a.host.cmp(&b.host));
    Ok(logs)
}
