//! Messages to an actor from code that cannot wait.

use std::{
    future::Future,
    pin::pin,
    task::{
        Context,
        Waker, //
    },
};

use xtra::{
    Address,
    Handler, //
};

/// Queues a message without waiting for its answer.
///
/// The actor's mailbox must be unbounded: queueing is then done at the first poll.
pub fn post<A, M>(address: &Address<A>, msg: M)
where
    A: Handler<M, Return = ()>,
    M: Send + 'static,
{
    let send = pin!(address.send(msg).detach());
    let _ = send.poll(&mut Context::from_waker(Waker::noop()));
}
