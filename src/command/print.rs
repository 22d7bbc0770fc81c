//! Output of results as text or JSON.

use std::{
    fmt::Display,
    io::Write, //
};

use serde::Serialize;

use crate::{
    cli::Output,
    command::CommandError, //
};

/// Writes results in the format chosen with `--output`.
pub(super) struct Printer<'a> {
    output: Output,
    out: &'a mut dyn Write,
}

impl<'a> Printer<'a> {
    pub(super) fn new(output: Output, out: &'a mut dyn Write) -> Self {
        Self { output, out }
    }

    /// Prints one result.
    pub(super) fn print<T: Serialize + Display>(&mut self, value: &T) -> Result<(), CommandError> {
        match self.output {
            Output::Text => writeln!(self.out, "{value}")?,
            Output::Json => writeln!(self.out, "{}", serde_json::to_string(value)?)?,
        }
        Ok(())
    }

    /// Prints a list: one line per value, or one JSON array.
    pub(super) fn list<T: Serialize + Display>(&mut self, all: &[T]) -> Result<(), CommandError> {
        if self.output == Output::Json {
            writeln!(self.out, "{}", serde_json::to_string(all)?)?;
            return Ok(());
        }
        for value in all {
            writeln!(self.out, "{value}")?;
        }
        Ok(())
    }

    /// Writes bytes unchanged, whatever the format.
    pub(super) fn raw(&mut self, bytes: &[u8]) -> Result<(), CommandError> {
        self.out.write_all(bytes)?;
        Ok(())
    }
}
