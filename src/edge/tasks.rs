//! The tasks that a process cannot serve without.

use std::{
    collections::HashMap,
    future::{
        Future,
        pending, //
    },
};

use thiserror::Error;
use tokio::task::{
    Id,
    JoinSet, //
};

/// The end of a task that should run as long as the process.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the task {task} ended: {cause}")]
pub struct TaskEnded {
    /// The name of the task.
    pub task: &'static str,
    /// The message of the task's panic, or the fact that it returned.
    pub cause: String,
}

/// Running tasks, each with a name. Dropping it stops them.
#[derive(Debug, Default)]
pub struct Tasks {
    running: JoinSet<()>,
    names: HashMap<Id, &'static str>,
}

impl Tasks {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a task that should run as long as the process.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        let handle = self.running.spawn(task);
        self.names.insert(handle.id(), name);
    }

    /// Starts a task that may return, but must not panic.
    pub fn spawn_finite(
        &mut self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        self.spawn(name, async {
            task.await;
            pending().await
        });
    }

    /// Waits until a task ends.
    pub async fn first_end(&mut self) -> TaskEnded {
        let Some(ended) = self.running.join_next_with_id().await else {
            return pending().await;
        };
        let (id, cause) = match ended {
            Ok((id, ())) => (id, "it returned".to_owned()),
            Err(e) => (e.id(), panic_message(e)),
        };
        TaskEnded {
            task: self.names.get(&id).copied().unwrap_or("unknown"),
            cause,
        }
    }
}

fn panic_message(error: tokio::task::JoinError) -> String {
    let text = error.to_string();
    let Ok(panic) = error.try_into_panic() else {
        return text;
    };
    match (panic.downcast_ref::<&str>(), panic.downcast_ref::<String>()) {
        (Some(message), _) => (*message).to_owned(),
        (None, Some(message)) => message.clone(),
        (None, None) => text,
    }
}
