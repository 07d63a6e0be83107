"""Engine core: continuous batching, chunked prefill, prefix cache, priorities, in modelled time.

The model of a step follows published engines: iteration-level scheduling (Orca, Yu et al. 2022),
block-wise prefix caching and recompute preemption (vLLM, Kwon et al. 2023), chunked prefill sharing
a token budget with decodes (Sarathi-Serve, Agrawal et al. 2024). Default times are of the order
published there for models of 7 to 8 billion parameters on one data-centre accelerator. Pure: a step
tells how long it takes and what it yields; the driver waits.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

BLOCK_TOKENS = 16


@dataclass(frozen=True)
class EngineModel:
    """Times and sizes of an emulated engine, in seconds and tokens."""

    base_step_s: float = 0.012
    sequence_step_s: float = 0.00008
    prefill_token_s: float = 0.00006
    step_token_budget: int = 512
    max_sequences: int = 64
    max_waiting: int = 512
    cache_blocks: int = 8192
    tokens_per_word: float = 1.3
    keeps_kv_cache: bool = False  # an oracle's engine keeps what a stopped request had computed


class StreamState(StrEnum):
    """State of one request in the engine."""

    WAITING = "waiting"
    RUNNING = "running"
    PAUSED = "paused"  # cancelled; can be resumed
    FINISHED = "finished"


@dataclass
class EngineRequest:
    """One request; priority 0 goes first."""

    request_id: str
    target: str
    prompt: str
    question: str  # the part of the prompt that the answer is made from
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
    """One engine step: how long it takes and the requests that gain a token at its end."""

    seconds: float
    token_receivers: list[EngineRequest]


def answer_tokens(question: str, max_tokens: int) -> list[str]:
    """Return the answer to a question: a function of it, so that a checker can recompute it."""
    digest = xxhash.xxh3_64_hexdigest(question.encode())
    count = min(max_tokens, 8 + int(digest[:2], 16) % 25)
    return [f"{digest[:8]}-{position}" for position in range(count)]


def answer_text(question: str, max_tokens: int) -> str:
    """Return the whole answer as text."""
    return " ".join(answer_tokens(question, max_tokens))


class PrefixCache:
    """Least-recently-used cache of prompt blocks; a block's hash covers all before it."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self.events: list[tuple[str, str]] = []  # ("stored" | "removed", block hash)

    def block_hashes(self, target: str, prompt: str) -> list[str]:
        """Return the hashes of the prompt's whole blocks."""
        words = prompt.split()
        hashes: list[str] = []
        running = xxhash.xxh3_64(target.encode())
        whole = len(words) - len(words) % BLOCK_TOKENS
        for start in range(0, whole, BLOCK_TOKENS):
            running.update(" ".join(words[start : start + BLOCK_TOKENS]).encode())
            hashes.append(running.hexdigest())
        return hashes

    def count_hits(self, hashes: list[str]) -> int:
        """Return how many leading blocks are held."""
        hits = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits

    def store(self, hashes: list[str]) -> None:
        """Hold blocks, evicting the longest unused."""
        for block in hashes:
            if block not in self._blocks:
                self.events.append(("stored", block))
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            removed, _ = self._blocks.popitem(last=False)
            self.events.append(("removed", removed))

    def cached_hashes(self) -> list[str]:
        """Return all held block hashes, longest unused first."""
        return list(self._blocks)


class EngineCore:
    """All requests of one engine."""

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
        """Queue a request; False when the engine is full or knows the id already."""
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
        """Stop a request; its tokens stay for a resume."""
        request = self._active_requests.pop(request_id, None)
        if request is None:
            return False
        request.state = StreamState.PAUSED
        return True

    def resume(self, request_id: str) -> EngineRequest | None:
        """Continue a request that was cancelled; return it, or None if it is not known."""
        request = self.requests.get(request_id)
        if request is not None and request.state is StreamState.PAUSED:
            self._enqueue(request)
        return request

    def remove_finished(self, finished_before: float) -> None:
        """Drop finished requests."""
        for request_id, request in list(self.requests.items()):
            if request.state is StreamState.FINISHED and request.finished_at < finished_before:
                del self.requests[request_id]

    @property
    def running_count(self) -> int:
        """Number of running requests."""
        return sum(r.state is StreamState.RUNNING for r in self._active_requests.values())

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return len(self._active_requests) - self.running_count

    @property
    def is_busy(self) -> bool:
        """Whether a step has something to do."""
        return bool(self._active_requests)

    def _enqueue(self, request: EngineRequest) -> None:
        request.state = StreamState.WAITING
        request.prefilled_tokens = 0
        self._active_requests[request.request_id] = request

    # ---- steps ----

    def begin_step(self) -> StepResult:
        """Decide one iteration; :meth:`finish_step` ends it after its time."""
        self._admit()
        running = self._sorted_requests(StreamState.RUNNING)
        decoding = [r for r in running if r.prefilled_tokens >= r.prefill_target_tokens]
        budget = max(0, self.model.step_token_budget - len(decoding))
        gained = list(decoding)
        prefill_tokens = 0
        for request in running:
            missing = request.prefill_target_tokens - request.prefilled_tokens
            chunk = min(missing, budget)
            if chunk <= 0:
                continue
            budget -= chunk
            prefill_tokens += chunk
            request.prefilled_tokens += chunk
            if request.prefilled_tokens >= request.prefill_target_tokens:
                gained.append(request)
        seconds = (
            self.model.base_step_s
            + self.model.sequence_step_s * len(decoding)
            + self.model.prefill_token_s * prefill_tokens
        )
        return StepResult(seconds, gained)

    def finish_step(self, step: StepResult, now: float) -> None:
        """Give the step's requests their token, but for those cancelled meanwhile."""
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
        hit = int(self.cache.count_hits(hashes) * BLOCK_TOKENS * self.model.tokens_per_word)
        request.cached_tokens = min(hit, request.prompt_tokens - 1)
        held = self.model.keeps_kv_cache and bool(request.tokens)
        request.prefilled_tokens = (
            request.prompt_tokens + len(request.tokens) if held else request.cached_tokens
        )
        # Tokens generated before are part of the prompt now (recompute preemption).
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
        found = [request for request in self._active_requests.values() if request.state is state]
        return sorted(found, key=_scheduling_key)


def _scheduling_key(request: EngineRequest) -> tuple[int, int]:
    return (request.priority, request.arrival_number)
