//! A simulated engine: reads prompts in order of arrival, in chunks between the token steps of
//! its running requests.

use std::collections::VecDeque;

/// Prompt tokens that are read between two token steps.
const CHUNK_TOKENS: f64 = 1_024.0;
/// Prompt tokens that an engine of usual speed reads in a millisecond.
const TOKENS_PER_MS: f64 = 157.0;
/// Shared parts that the engine holds.
const HELD_PARTS: usize = 30;
/// Length of the periods in which a machine is slow, their factor, and the part of machines.
const NOISE: (f64, f64, u64) = (600.0, 2.5, 15);

#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub request: usize,
    pub prompt_tokens: f64,
    pub shared_tokens: f64,
    pub part: u64,
    pub output_tokens: f64,
}

#[derive(Debug)]
struct Running {
    job: Job,
    generated: f64,
}

/// What happened at the end of a cycle.
#[derive(Clone, Copy, Debug)]
pub enum EngineEvent {
    FirstByte(usize),
    Ended(usize),
}

#[derive(Debug)]
pub struct Engine {
    number: u64,
    speed: f64,
    pub slots: usize,
    memory_tokens: f64,
    /// Prompts with the tokens that are not read; `None` until their reading begins.
    waiting: VecDeque<(Job, Option<f64>)>,
    running: Vec<Running>,
    held: VecDeque<u64>,
    pub is_busy: bool,
    /// Requests whose memory was taken, so that they are read again.
    pub preempted: u32,
}

impl Engine {
    pub fn new(number: u64, speed: f64, slots: usize, memory_tokens: f64) -> Self {
        Self {
            number,
            speed,
            slots,
            memory_tokens,
            waiting: VecDeque::new(),
            running: Vec::new(),
            held: VecDeque::new(),
            is_busy: false,
            preempted: 0,
        }
    }

    pub fn requests(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how long work takes on the machine, 1 as usual.
    pub fn slow_factor(&self, now_ms: f64) -> f64 {
        let period = (now_ms / NOISE.0) as u64;
        let is_slow = base::mix_hashes(self.number, period) % 100 < NOISE.2;
        if is_slow { NOISE.1 } else { 1.0 }
    }

    pub fn push(&mut self, job: Job) {
        self.waiting.push_back((job, None));
    }

    /// Runs one cycle that begins now; returns its length in milliseconds and what happens at its
    /// end, or `None` if there is nothing to do.
    pub fn cycle(&mut self, now_ms: f64) -> Option<(f64, Vec<EngineEvent>)> {
        let step_ms = 3.55 + 0.05 * self.running.len() as f64;
        let had_running = !self.running.is_empty();
        let mut used: f64 =
            self.running.iter().map(|running| running.job.prompt_tokens + running.generated).sum();
        if used > self.memory_tokens && self.running.len() > 1 {
            let newest = self.running.pop();
            self.preempted += 1;
            if let Some(Running { job, generated }) = newest {
                used -= job.prompt_tokens + generated;
                self.waiting.push_front((job, None));
            }
        }
        let mut budget = CHUNK_TOKENS;
        let mut events = Vec::new();
        let mut begun = Vec::new();
        while let Some((job, left)) = self.waiting.front_mut() {
            let has_room =
                used + job.prompt_tokens <= self.memory_tokens || self.running.is_empty();
            if budget < 1.0 || self.running.len() + begun.len() >= self.slots || !has_room {
                break;
            }
            let is_held = self.held.contains(&job.part);
            let unread = job.prompt_tokens - if is_held { job.shared_tokens } else { 0.0 };
            let left = left.get_or_insert(unread);
            let read = left.min(budget);
            budget -= read;
            *left -= read;
            if *left >= 1.0 {
                break;
            }
            let job = *job;
            self.waiting.pop_front();
            self.hold(job.part);
            used += job.prompt_tokens;
            events.push(EngineEvent::FirstByte(job.request));
            begun.push(Running { job, generated: 1.0 });
        }
        if had_running {
            self.running.iter_mut().for_each(|running| running.generated += 1.0);
        }
        let ended = |running: &Running| running.generated >= running.job.output_tokens;
        events.extend(
            self.running.iter().filter(|r| ended(r)).map(|r| EngineEvent::Ended(r.job.request)),
        );
        self.running.retain(|running| !ended(running));
        self.running.extend(begun);
        let read = CHUNK_TOKENS - budget;
        if read < 1.0 && !had_running {
            return None;
        }
        let cycle_ms = read / TOKENS_PER_MS + step_ms;
        Some((cycle_ms * self.slow_factor(now_ms) / self.speed, events))
    }

    fn hold(&mut self, part: u64) {
        if part == 0 {
            return;
        }
        self.held.retain(|held| *held != part);
        self.held.push_back(part);
        if self.held.len() > HELD_PARTS {
            self.held.pop_front();
        }
    }
}
