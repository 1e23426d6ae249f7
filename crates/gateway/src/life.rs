//! Life of the process: it starts, serves, drains and exits, or exits before it serves.

use std::sync::Arc;

use admit::StopPlan;
use ntex::server::Server;
use process::{CaughtSignal, SignalReceiver};

use crate::context::GatewayContext;
use crate::stop;

/// Nothing has been announced to peers and callers.
#[derive(Debug)]
pub(crate) struct Starting {
    signal: CaughtSignal,
}

/// Peers and callers may know of the router.
#[derive(Debug)]
pub(crate) struct Serving {
    signal: SignalReceiver,
    server: Server,
}

/// The router leaves, and still serves what comes.
#[derive(Debug)]
pub(crate) struct Draining {
    plan: StopPlan,
    server: Server,
}

/// Nothing is accepted any more.
#[derive(Debug)]
pub(crate) struct Closed {
    /// None if the router has not served.
    server: Option<Server>,
}

/// The process in the state `S`.
#[derive(Debug)]
pub(crate) struct ProcessLife<S> {
    context: Arc<GatewayContext>,
    state: S,
}

/// What follows the start.
#[derive(Debug)]
pub(crate) enum StartEnd {
    Serving(ProcessLife<Serving>),
    /// The signal to stop came before anything was announced.
    Closed(ProcessLife<Closed>),
}

impl ProcessLife<Starting> {
    pub(crate) fn new(context: Arc<GatewayContext>, signal: CaughtSignal) -> Self {
        Self { context, state: Starting { signal } }
    }

    /// Serves with what `start` starts, unless the signal to stop has come. One that comes while
    /// `start` runs is found in the next state.
    ///
    /// # Errors
    /// Returns the error of `start`, or one if the signal can't be received.
    pub(crate) async fn serve(
        self,
        start: impl AsyncFnOnce(&Arc<GatewayContext>) -> anyhow::Result<Server>,
    ) -> anyhow::Result<StartEnd> {
        let Self { context, state: Starting { signal } } = self;
        context.signal_watch.check(context.now());
        if signal.is_caught() {
            let state = Closed { server: None };
            return Ok(StartEnd::Closed(ProcessLife { context, state }));
        }
        let server = start(&context).await?;
        context.signal_watch.record_serving();
        let state = Serving { signal: signal.receive()?, server };
        Ok(StartEnd::Serving(ProcessLife { context, state }))
    }
}

impl ProcessLife<Serving> {
    /// Serves until the signal to stop comes.
    ///
    /// # Errors
    /// Returns an error if the signal can't be received.
    pub(crate) async fn wait_for_stop(self) -> anyhow::Result<ProcessLife<Draining>> {
        self.state.signal.first().await?;
        let Self { context, state: Serving { server, .. } } = self;
        stop::check_signal(&context);
        let state = Draining { plan: context.start_stop(), server };
        Ok(ProcessLife { context, state })
    }
}

impl ProcessLife<Draining> {
    pub(crate) async fn drain(self) -> ProcessLife<Closed> {
        let Draining { plan, server } = self.state;
        stop::drain(&self.context, plan).await;
        ProcessLife { context: self.context, state: Closed { server: Some(server) } }
    }
}

impl ProcessLife<Closed> {
    /// Ends what is open and the other servers. Nothing waits for those, as their stop takes longer than
    /// the exit margin leaves, and they end with the process.
    pub(crate) async fn exit(self) {
        self.context.shutdown.cancel();
        let stop_server = async {
            if let Some(server) = self.state.server {
                server.stop(false).await;
            }
            std::future::pending().await
        };
        tokio::select! {
            () = stop_server => {}
            () = stop::cut_open_calls(&self.context) => {}
        }
        tracing::info!(unit = "run", event = "stopped");
    }
}
