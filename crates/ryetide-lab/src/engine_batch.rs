//! The model behind the engine stand-in: continuous batching with a token limit, and a prefix cache.
//!
//! Requests join the batch in order of arrival while slots and tokens are available. In each step the
//! prefill budget is spent on the prompts in order, and every request after its prefill generates
//! tokens at the decode rate. No request is preempted, and tiers are unknown to the engine.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use ryetide::caller_request::prefix_hashes;
use ryetide_core::affinity::BLOCK_TOKENS;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The speed and capacity of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct EngineSpeed {
    /// The maximum number of requests in the batch.
    pub slots: usize,
    /// The maximum number of tokens in the batch.
    pub tokens: u64,
    /// The prompt tokens processed per second, over the whole batch.
    pub prefill_rate: f64,
    /// The tokens generated per second for each request.
    pub decode_rate: f64,
    /// The capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            slots: 8,
            tokens: 64_000,
            prefill_rate: 20_000.0,
            decode_rate: 200.0,
            cache_blocks: 256,
        }
    }
}

/// The body of a prompt.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EnginePrompt {
    /// The model, which is the name of the service in ryetide.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Whether the caller expects a stream.
    #[serde(default)]
    pub stream: bool,
    /// For tests: the number of tokens to generate, at most `max_tokens`.
    #[serde(default)]
    pub lab_output: Option<u64>,
    /// For tests: the length of each token's text, in bytes.
    #[serde(default)]
    pub lab_token_bytes: Option<usize>,
}

impl EnginePrompt {
    /// Returns the number of tokens to generate.
    pub fn output(&self) -> u64 {
        self.lab_output.unwrap_or(self.max_tokens).min(self.max_tokens)
    }

    /// Returns the length of the prompt in tokens, as ryetide estimates it.
    pub fn prompt_tokens(&self) -> u64 {
        (self.prompt.len() as u64 / 4).max(1)
    }

    /// Returns the text of the token at `index`. It depends on the prompt, so that a caller can
    /// distinguish its own answer from any other.
    pub fn token(&self, index: u64) -> String {
        let hash = xxh3_64_with_seed(self.prompt.as_bytes(), index);
        let mut text = format!("{hash:016x} ");
        let length = self.lab_token_bytes.unwrap_or(8).max(2);
        while text.len() < length {
            text.push_str(&format!("{:016x} ", hash.rotate_left(text.len() as u32)));
        }
        text.truncate(length);
        text
    }

    /// Returns the stream's event for the token at `index`.
    pub fn event(&self, index: u64) -> String {
        format!("data: {{\"choices\":[{{\"index\":0,\"text\":\"{}\"}}]}}\n\n", self.token(index))
    }

    /// Returns the complete generated text.
    pub fn expected_text(&self) -> String {
        (0..self.output()).map(|index| self.token(index)).collect()
    }

    /// Returns the complete stream.
    pub fn expected_stream(&self) -> String {
        let events: String = (0..self.output()).map(|index| self.event(index)).collect();
        events + STREAM_END
    }
}

/// The last event of a stream.
pub const STREAM_END: &str = "data: [DONE]\n\n";

/// The state of one request at the engine.
#[derive(Debug)]
pub struct EngineRequest {
    prompt: EnginePrompt,
    prefill_left: f64,
    generated: u64,
    credit: f64,
    /// The stream generated so far, stored for resumes.
    stream: Vec<u8>,
    done: bool,
    cancelled: bool,
}

impl EngineRequest {
    /// Returns the stream from `offset` on, and whether it has ended.
    pub fn stream_from(&self, offset: usize) -> (Bytes, bool) {
        let start = offset.min(self.stream.len());
        (Bytes::copy_from_slice(&self.stream[start..]), self.done || self.cancelled)
    }

    /// Returns whether the complete stream was generated.
    pub fn is_done(&self) -> bool {
        self.done
    }

    fn tokens(&self) -> u64 {
        self.prompt.prompt_tokens() + self.generated
    }
}

/// The record of what the engine has done, for tests.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineRecord {
    /// The number of dispatches of each request id.
    pub dispatches: BTreeMap<String, u32>,
    /// The number of resumed streams.
    pub resumes: u64,
    /// The number of completed requests.
    pub completed: u64,
    /// The number of cancelled requests.
    pub cancelled: u64,
    /// The number of refused requests.
    pub refused: u64,
    /// The number of prompt tokens processed.
    pub prefilled: u64,
    /// The number of prompt tokens found in the cache.
    pub cached: u64,
    /// The accepted orders with their fencing numbers.
    pub orders: Vec<(u64, String)>,
    /// The hashes of the prompts dispatched to this engine, in order of arrival.
    pub prompts: Vec<u64>,
}

/// An engine's batch, queue and prefix cache.
#[derive(Debug)]
pub struct EngineBatch {
    speed: EngineSpeed,
    requests: BTreeMap<String, EngineRequest>,
    queue: VecDeque<String>,
    running: Vec<String>,
    ended: VecDeque<String>,
    cache: VecDeque<u32>,
    /// The record for tests.
    pub record: EngineRecord,
    generated: u64,
}

/// The number of completed requests that are stored for resumes.
const ENDED_LIMIT: usize = 10_000;

impl EngineBatch {
    /// Creates an idle engine.
    pub fn new(speed: EngineSpeed) -> Self {
        Self {
            speed,
            requests: BTreeMap::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            ended: VecDeque::new(),
            cache: VecDeque::new(),
            record: EngineRecord::default(),
            generated: 0,
        }
    }

    /// Accepts a request. A request with a known id is counted again but does not run again.
    pub fn dispatch(&mut self, id: &str, prompt: EnginePrompt) {
        *self.record.dispatches.entry(id.to_owned()).or_default() += 1;
        self.record.prompts.push(xxh3_64_with_seed(prompt.prompt.as_bytes(), 0));
        if self.requests.contains_key(id) {
            return;
        }
        let request = EngineRequest {
            prefill_left: prompt.prompt_tokens() as f64,
            prompt,
            generated: 0,
            credit: 0.0,
            stream: Vec::new(),
            done: false,
            cancelled: false,
        };
        self.requests.insert(id.to_owned(), request);
        self.queue.push_back(id.to_owned());
    }

    /// Returns a request.
    pub fn request(&self, id: &str) -> Option<&EngineRequest> {
        self.requests.get(id)
    }

    /// Cancels a request. Returns whether it was found and not completed.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.done) else {
            return false;
        };
        request.cancelled = true;
        self.record.cancelled += 1;
        self.running.retain(|running| running != id);
        self.queue.retain(|queued| queued != id);
        true
    }

    /// Returns the number of requests in the batch and the queue.
    pub fn load(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of tokens generated since the start.
    pub fn generated(&self) -> u64 {
        self.generated
    }

    /// Returns the prefix blocks in the cache.
    pub fn cached(&self) -> impl Iterator<Item = u32> + '_ {
        self.cache.iter().copied()
    }

    /// Advances the batch by `seconds` at a speed reduced by the factor `slowdown`. Returns the
    /// requests with new output.
    pub fn work(&mut self, seconds: f64, slowdown: f64) -> Vec<String> {
        self.fill();
        let seconds = seconds / slowdown.max(1.0);
        let mut prefill = self.speed.prefill_rate * seconds;
        let mut advanced = Vec::new();
        let mut finished = Vec::new();
        for id in &self.running {
            let Some(request) = self.requests.get_mut(id) else { continue };
            let processed = request.prefill_left.min(prefill);
            request.prefill_left -= processed;
            prefill -= processed;
            if request.prefill_left > 0.0 {
                continue;
            }
            request.credit += self.speed.decode_rate * seconds;
            let before = request.generated;
            while request.credit >= 1.0 && request.generated < request.prompt.output() {
                request.credit -= 1.0;
                let event = request.prompt.event(request.generated);
                request.stream.extend_from_slice(event.as_bytes());
                request.generated += 1;
            }
            self.generated += request.generated - before;
            if request.generated >= request.prompt.output() {
                request.stream.extend_from_slice(STREAM_END.as_bytes());
                request.done = true;
                finished.push(id.clone());
            }
            if request.generated > before || request.done {
                advanced.push(id.clone());
            }
        }
        self.running.retain(|id| !finished.contains(id));
        for id in finished {
            self.end(id);
        }
        advanced
    }

    /// Moves queued requests into the batch while slots and tokens are available.
    fn fill(&mut self) {
        while self.running.len() < self.speed.slots {
            let Some(id) = self.queue.front() else { return };
            let held: u64 = self
                .running
                .iter()
                .filter_map(|id| self.requests.get(id))
                .map(EngineRequest::tokens)
                .sum();
            let Some(request) = self.requests.get(id) else {
                self.queue.pop_front();
                continue;
            };
            let need = request.prompt.prompt_tokens();
            if !self.running.is_empty() && held + need > self.speed.tokens {
                return;
            }
            let prefixes = prefix_hashes(request.prompt.prompt.as_bytes());
            let hits = self.use_cache(&prefixes);
            let Some(id) = self.queue.pop_front() else { return };
            if let Some(request) = self.requests.get_mut(&id) {
                let saved = (hits as u64 * BLOCK_TOKENS).min(need);
                request.prefill_left = (need - saved) as f64;
                self.record.cached += saved;
                self.record.prefilled += need - saved;
            }
            self.running.push(id);
        }
    }

    /// Returns the number of leading blocks found in the cache, and adds all blocks to it.
    fn use_cache(&mut self, prefixes: &[u32]) -> usize {
        let hits = prefixes.iter().take_while(|prefix| self.cache.contains(prefix)).count();
        self.cache.retain(|held| !prefixes.contains(held));
        self.cache.extend(prefixes);
        while self.cache.len() > self.speed.cache_blocks {
            self.cache.pop_front();
        }
        hits
    }

    fn end(&mut self, id: String) {
        self.record.completed += 1;
        self.ended.push_back(id);
        if self.ended.len() > ENDED_LIMIT
            && let Some(oldest) = self.ended.pop_front()
        {
            self.requests.remove(&oldest);
        }
    }
}
