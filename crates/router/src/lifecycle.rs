//! Life cycle of one request, with its states as types.
//!
//! Only a received or queued request can be refused as "not run", and only if
//! no earlier attempt may have run it.

use base::Name;

use crate::refusal::{Refusal, RefusalCode};

/// The request has been received, but neither queued nor sent.
#[derive(Debug)]
pub(crate) struct Received;

/// The request waits for a slot; the current attempt has sent nothing.
#[derive(Debug)]
pub(crate) struct Queued;

/// The router has begun to send the request to a target.
#[derive(Debug)]
pub(crate) struct Dispatched;

/// One request in the state `S`.
#[derive(Debug)]
pub(crate) struct Request<S> {
    pub(crate) id: String,
    pub(crate) account: Name,
    pub(crate) service: Name,
    /// An earlier attempt may have run the request at a target. Invariant: once
    /// set, it stays set in every later state.
    may_have_run: bool,
    _state: S,
}

impl<S> Request<S> {
    fn transition<T>(self, state: T) -> Request<T> {
        Request {
            id: self.id,
            account: self.account,
            service: self.service,
            may_have_run: self.may_have_run,
            _state: state,
        }
    }
}

impl Request<Received> {
    pub(crate) fn new(id: String, account: Name, service: Name) -> Self {
        Self { id, account, service, may_have_run: false, _state: Received }
    }

    pub(crate) fn queue(self) -> Request<Queued> {
        self.transition(Queued)
    }

    pub(crate) fn refuse(&self, code: RefusalCode) -> Refusal {
        Refusal::not_run(code, &self.id)
    }
}

impl Request<Queued> {
    pub(crate) fn dispatch(self) -> Request<Dispatched> {
        self.transition(Dispatched)
    }

    /// Refuses the request as "not run", unless an earlier attempt may have run
    /// it.
    pub(crate) fn refuse(&self, code: RefusalCode) -> Refusal {
        if self.may_have_run {
            return Refusal::outcome_unknown(code, &self.id);
        }
        Refusal::not_run(code, &self.id)
    }
}

impl Request<Dispatched> {
    /// Returns the request to the queue after an attempt that could not
    /// connect, so that no byte was sent.
    pub(crate) fn requeue_unsent(self) -> Request<Queued> {
        self.transition(Queued)
    }

    /// Returns an idempotent request to the queue, to be sent to another
    /// target.
    pub(crate) fn retry_idempotent(self) -> Request<Queued> {
        Request { may_have_run: true, ..self.transition(Queued) }
    }

    pub(crate) fn refuse_outcome_unknown(&self, code: RefusalCode) -> Refusal {
        Refusal::outcome_unknown(code, &self.id)
    }
}
