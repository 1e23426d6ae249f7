//! A target with a fixed number of slots and a queue in order of arrival.

use std::collections::VecDeque;

use base::Millis;
use target::LoadReport;

/// One request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequest {
    /// Index of the request in the simulation.
    pub id: usize,
    /// Time in milliseconds that it occupies a slot.
    pub hold_ms: Millis,
}

/// What happened to a request at an engine.
#[derive(Clone, Copy, Debug)]
pub enum EngineEvent {
    Started { id: usize, report: LoadReport },
    Ended { id: usize },
}

#[derive(Debug)]
pub struct Engine {
    slots: usize,
    max_waiting: usize,
    running: Vec<(Millis, EngineRequest)>,
    waiting: VecDeque<EngineRequest>,
}

impl Engine {
    pub fn new(slots: usize, max_waiting: usize) -> Self {
        Self { slots, max_waiting, running: Vec::new(), waiting: VecDeque::new() }
    }

    pub fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: self.slots as u32,
            slow_percent: None,
        }
    }

    /// Accepts a request, or returns false if the queue is full.
    pub fn accept(&mut self, request: EngineRequest) -> bool {
        if self.running.len() + self.waiting.len() >= self.slots + self.max_waiting {
            return false;
        }
        self.waiting.push_back(request);
        true
    }

    /// Ends and starts requests that are due.
    pub fn advance(&mut self, now: Millis) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        self.running.retain(|(ends_at, request)| {
            if *ends_at <= now {
                events.push(EngineEvent::Ended { id: request.id });
            }
            *ends_at > now
        });
        while self.running.len() < self.slots
            && let Some(request) = self.waiting.pop_front()
        {
            self.running.push((now + request.hold_ms, request));
            events.push(EngineEvent::Started { id: request.id, report: self.report() });
        }
        events
    }
}
