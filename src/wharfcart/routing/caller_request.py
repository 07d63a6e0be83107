"""A caller's request as it is passed on, and where its answer goes."""

from dataclasses import dataclass
from functools import cached_property
from typing import Protocol

from wharfcart.admission.request_fingerprint import RequestFingerprint, fingerprint_of
from wharfcart.configuration.residence import Residence
from wharfcart.configuration.serving import Route, ServedTenant
from wharfcart.platform import exchanges
from wharfcart.routing.backend_selection import MIN_AFFINITY_TOKENS


@dataclass(frozen=True)
class CallerRequest:
    """A whole request of a caller.

    Parameters
    ----------
    target: path and query as they came.
    received_at: monotonic time at which the request was whole.
    tenant: whose request it is; None where callers need no key.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    facts: exchanges.RequestFacts
    route: Route
    service: str
    received_at: float
    tenant: ServedTenant | None = None

    @property
    def tenant_name(self) -> str:
        """Name of the tenant, or ''."""
        return "" if self.tenant is None else self.tenant.name

    @cached_property
    def fingerprint(self) -> RequestFingerprint:
        """What it is known by beyond this attempt."""
        host = self.route.host
        return fingerprint_of(host, self.method, self.target, self.tenant_name, self.body)

    @property
    def residence(self) -> Residence:
        """Where its data may be: both its route and its tenant bind."""
        own = self.route.residence
        return own if self.tenant is None else own.intersect(self.tenant.residence)

    @property
    def priority(self) -> int:
        """Rank among requests that wait, 0 first: the tenant's, else the route's."""
        if self.tenant is None or self.tenant.priority is None:
            return self.route.priority
        return self.tenant.priority

    @property
    def deadline(self) -> float:
        """Monotonic time by which the caller must have its final answer."""
        limit_s = self.route.time_limit_s
        if self.facts.deadline_s is not None:
            limit_s = min(limit_s, self.facts.deadline_s)
        return self.received_at + limit_s

    @property
    def affinity_key(self) -> str:
        """Name of the long shared prompt that decides where to go first, or ''."""
        shared = self.facts.prompt[:-1]
        if sum(part.tokens for part in shared) < MIN_AFFINITY_TOKENS:
            return ""
        return ",".join(part.part_id for part in shared)

    @property
    def unread_tokens(self) -> int:
        """Tokens that the back end must read if it keeps nothing of the prompt but long parts."""
        if not self.affinity_key:
            return sum(part.tokens for part in self.facts.prompt)
        return sum(part.tokens for part in self.facts.prompt[-1:])


class AnswerSink(Protocol):
    """Where an answer goes. After an error that is raised, the caller's connection is cut."""

    async def send_whole(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        """Give a whole answer."""
        ...

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Begin an answer of unknown length."""
        ...

    async def send_part(self, data: bytes) -> None:
        """Pass bytes of a begun answer on."""
        ...


class AnswerTruncatedError(Exception):
    """A begun answer can't be finished: the caller must see it broken off."""
