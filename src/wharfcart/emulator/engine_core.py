"""Model of an inference engine: continuous batching, chunked prefill, prefix cache, priorities.

The model follows published engines: iteration-level scheduling (Orca, Yu et al. 2022), block-wise
prefix caching and recompute preemption (vLLM, Kwon et al. 2023), chunked prefill that shares a
token budget with decoding (Sarathi-Serve, Agrawal et al. 2024). The default times correspond to
models of 7 to 8 billion parameters on one data-centre accelerator. The model does no I/O and does
not wait: a step returns its duration and the requests that receive a token, and the caller waits.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

BLOCK_TOKENS = 16


@dataclass(frozen=True)
class EngineModel:
    """Step times and sizes of an emulated engine.

    Attributes:
        base_step_s: fixed time of a step.
        sequence_step_s: additional time per decoding sequence.
        prefill_token_s: additional time per prefilled token.
        step_token_budget: tokens of a step, shared by decoding and prefill.
        max_sequences: sequences that run at once.
        max_waiting: queued requests beyond which a submission is refused.
        cache_blocks: capacity of the prefix cache, in blocks.
        tokens_per_word: prompt tokens per word.
        keeps_kv_cache: a cancelled request keeps its KV cache, so that a resume needs no prefill.
    """

    base_step_s: float = 0.012
    sequence_step_s: float = 0.00008
    prefill_token_s: float = 0.00006
    step_token_budget: int = 512
    max_sequences: int = 64
    max_waiting: int = 512
    cache_blocks: int = 8192
    tokens_per_word: float = 1.3
    keeps_kv_cache: bool = False


class StreamState(StrEnum):
    """State of a request in the engine."""

    WAITING = "waiting"
    RUNNING = "running"
    PAUSED = "paused"  # cancelled; can be resumed
    FINISHED = "finished"


@dataclass
class EngineRequest:
    """One request.

    Attributes:
        target: name of the model or adapter.
        question: the part of the prompt that determines the answer.
        priority: 0 is the highest priority.
        arrival_number: arrival order; lower numbers go first within a priority.
        prefilled_tokens: tokens in the KV cache.
        prefill_target_tokens: tokens to prefill before decoding: the prompt and earlier output.
        cached_tokens: prompt tokens found in the prefix cache.
        tokens: output so far.
        finished_at: time of the last token.
    """

    request_id: str
    target: str
    prompt: str
    question: str
    max_tokens: int
    priority: int
    arrival_number: int = 0
    state: StreamState = StreamState.WAITING
    prompt_tokens: int = 0
    prefilled_tokens: int = 0
    prefill_target_tokens: int = 0
    cached_tokens: int = 0
    tokens: list[str] = field(default_factory=list)
    finished_at: float = 0.0


@dataclass(frozen=True)
class StepResult:
    """Duration of one engine step and the requests that receive a token at its end."""

    seconds: float
    token_receivers: list[EngineRequest]


def answer_tokens(question: str, max_tokens: int) -> list[str]:
    """Return the answer to a question; it is deterministic, so that a test can recompute it."""
    digest = xxhash.xxh3_64_hexdigest(question.encode())
    count = min(max_tokens, 8 + int(digest[:2], 16) % 25)
    return [f"{digest[:8]}-{position}" for position in range(count)]


def answer_text(question: str, max_tokens: int) -> str:
    """Return the complete answer as text."""
    return " ".join(answer_tokens(question, max_tokens))


class PrefixCache:
    """Least-recently-used cache of prompt blocks; a block's hash covers all blocks before it.

    Attributes:
        events: changes since the caller last cleared the list, as ("stored" or "removed", hash).
    """

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self.events: list[tuple[str, str]] = []

    def block_hashes(self, target: str, prompt: str) -> list[str]:
        """Return the hashes of the prompt's complete blocks."""
        words = prompt.split()
        hashes: list[str] = []
        digest = xxhash.xxh3_64(target.encode())
        complete_words = len(words) - len(words) % BLOCK_TOKENS
        for start in range(0, complete_words, BLOCK_TOKENS):
            digest.update(" ".join(words[start : start + BLOCK_TOKENS]).encode())
            hashes.append(digest.hexdigest())
        return hashes

    def count_hits(self, hashes: list[str]) -> int:
        """Return the number of leading blocks that are cached, and mark them as used."""
        hits = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits

    def store(self, hashes: list[str]) -> None:
        """Add blocks and evict the least recently used ones."""
        for block in hashes:
            if block not in self._blocks:
                self.events.append(("stored", block))
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            removed, _ = self._blocks.popitem(last=False)
            self.events.append(("removed", removed))

    def cached_hashes(self) -> list[str]:
        """Return the hashes of all cached blocks, least recently used first."""
        return list(self._blocks)


class EngineCore:
    """Scheduler and requests of one engine."""

    def __init__(self, model: EngineModel) -> None:
        self.model = model
        self.cache = PrefixCache(model.cache_blocks)
        self.requests: dict[str, EngineRequest] = {}
        self.preemptions = 0
        self.prompt_tokens = 0
        self.hit_tokens = 0
        self._active_requests: dict[str, EngineRequest] = {}
        self._arrival_count = 0

    # ---- requests ----

    def submit(self, request: EngineRequest) -> bool:
        """Queue a request; return False if the queue is full or the id is already known."""
        waiting = sum(r.state is StreamState.WAITING for r in self._active_requests.values())
        if waiting >= self.model.max_waiting or request.request_id in self.requests:
            return False
        self._arrival_count += 1
        request.arrival_number = self._arrival_count
        request.prompt_tokens = int(len(request.prompt.split()) * self.model.tokens_per_word) + 4
        self.requests[request.request_id] = request
        self._enqueue(request)
        return True

    def cancel(self, request_id: str) -> bool:
        """Cancel a request but keep its tokens; return False if it is not active."""
        request = self._active_requests.pop(request_id, None)
        if request is None:
            return False
        request.state = StreamState.PAUSED
        return True

    def resume(self, request_id: str) -> EngineRequest | None:
        """Queue a cancelled request again; return the request, or None if the id is unknown."""
        request = self.requests.get(request_id)
        if request is not None and request.state is StreamState.PAUSED:
            self._enqueue(request)
        return request

    def remove_finished(self, finished_before: float) -> None:
        """Remove requests that finished before a time."""
        for request_id, request in list(self.requests.items()):
            if request.state is StreamState.FINISHED and request.finished_at < finished_before:
                del self.requests[request_id]

    @property
    def running_count(self) -> int:
        """Return the number of running requests."""
        return sum(r.state is StreamState.RUNNING for r in self._active_requests.values())

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._active_requests) - self.running_count

    @property
    def is_busy(self) -> bool:
        """Return whether any request is running or waiting."""
        return bool(self._active_requests)

    def _enqueue(self, request: EngineRequest) -> None:
        request.state = StreamState.WAITING
        request.prefilled_tokens = 0
        self._active_requests[request.request_id] = request

    # ---- steps ----

    def begin_step(self) -> StepResult:
        """Schedule one iteration; the caller calls :meth:`finish_step` after its duration."""
        self._admit()
        running = self._sorted_requests(StreamState.RUNNING)
        decoding = [r for r in running if r.prefilled_tokens >= r.prefill_target_tokens]
        budget_tokens = max(0, self.model.step_token_budget - len(decoding))
        token_receivers = list(decoding)
        prefill_tokens = 0
        for request in running:
            remaining_tokens = request.prefill_target_tokens - request.prefilled_tokens
            chunk_tokens = min(remaining_tokens, budget_tokens)
            if chunk_tokens <= 0:
                continue
            budget_tokens -= chunk_tokens
            prefill_tokens += chunk_tokens
            request.prefilled_tokens += chunk_tokens
            if request.prefilled_tokens >= request.prefill_target_tokens:
                token_receivers.append(request)
        seconds = (
            self.model.base_step_s
            + self.model.sequence_step_s * len(decoding)
            + self.model.prefill_token_s * prefill_tokens
        )
        return StepResult(seconds, token_receivers)

    def finish_step(self, step: StepResult, now: float) -> None:
        """Append a token to the step's requests, except those cancelled during the step."""
        for request in step.token_receivers:
            if request.state is StreamState.RUNNING:
                self._append_token(request, now)

    def _admit(self) -> None:
        waiting = self._sorted_requests(StreamState.WAITING)
        running = self._sorted_requests(StreamState.RUNNING)
        for request in waiting:
            if len(running) >= self.model.max_sequences:
                victim = running[-1]
                if victim.priority <= request.priority:
                    return
                running.pop()
                self.preemptions += 1
                self._enqueue(victim)
            self._start(request)
            running.append(request)
            running.sort(key=_scheduling_key)

    def _start(self, request: EngineRequest) -> None:
        request.state = StreamState.RUNNING
        hashes = self.cache.block_hashes(request.target, request.prompt)
        reused_tokens = int(
            self.cache.count_hits(hashes) * BLOCK_TOKENS * self.model.tokens_per_word
        )
        request.cached_tokens = min(reused_tokens, request.prompt_tokens - 1)
        is_cached = self.model.keeps_kv_cache and bool(request.tokens)
        request.prefilled_tokens = (
            request.prompt_tokens + len(request.tokens) if is_cached else request.cached_tokens
        )
        # Earlier output is prefilled again with the prompt (recompute preemption).
        request.prefill_target_tokens = request.prompt_tokens + len(request.tokens)
        self.prompt_tokens += request.prompt_tokens
        self.hit_tokens += request.cached_tokens

    def _append_token(self, request: EngineRequest, at: float) -> None:
        answer = answer_tokens(request.question, request.max_tokens)
        if not request.tokens:
            self.cache.store(self.cache.block_hashes(request.target, request.prompt))
        request.tokens.append(answer[len(request.tokens)])
        if len(request.tokens) == len(answer):
            request.state = StreamState.FINISHED
            request.finished_at = at
            self._active_requests.pop(request.request_id, None)

    def _sorted_requests(self, state: StreamState) -> list[EngineRequest]:
        matching = [request for request in self._active_requests.values() if request.state is state]
        return sorted(matching, key=_scheduling_key)


def _scheduling_key(request: EngineRequest) -> tuple[int, int]:
    return (request.priority, request.arrival_number)
