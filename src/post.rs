//! Sending messages to an actor from synchronous code.

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

/// Queues a message for an actor without waiting for it to be handled.
///
/// A message to a stopped actor is dropped.
///
/// The actor's mailbox must be unbounded: the send future is polled only once, and only an
/// unbounded mailbox is sure to accept the message at the first poll.
pub fn post<A, M>(address: &Address<A>, msg: M)
where
    A: Handler<M, Return = ()>,
    M: Send + 'static,
{
    let send = pin!(address.send(msg).detach());
    let _ = send.poll(&mut Context::from_waker(Waker::noop()));
}
