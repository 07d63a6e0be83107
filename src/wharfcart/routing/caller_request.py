"""A caller's request to be forwarded and the sink of its answer."""

from dataclasses import dataclass
from functools import cached_property
from typing import Protocol

from wharfcart.admission.prompt_parts import PromptPartKey, shared_part_keys
from wharfcart.admission.request_fingerprint import RequestFingerprint, fingerprint_of
from wharfcart.configuration.residence import Residence
from wharfcart.configuration.serving import Route, RouteKind, ServedTenant
from wharfcart.platform import http_headers
from wharfcart.routing.backend_selection import MIN_AFFINITY_TOKENS


@dataclass(frozen=True)
class CallerRequest:
    """A completely received request of a caller.

    Attributes:
        method: HTTP method.
        target: path and query as received.
        headers: headers as received.
        body: complete body.
        facts: fields read from headers and body.
        route: the matching route.
        service: name of the service.
        received_at: monotonic time in seconds at which the request was complete.
        tenant: the caller's tenant; None if the route needs no key.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    facts: http_headers.RequestMetadata
    route: Route
    service: str
    received_at: float
    tenant: ServedTenant | None = None

    @property
    def tenant_name(self) -> str:
        """Name of the tenant, '' if there is none."""
        return "" if self.tenant is None else self.tenant.name

    @cached_property
    def fingerprint(self) -> RequestFingerprint:
        """Fingerprint that identifies the request over all attempts."""
        host = self.route.host
        return fingerprint_of(host, self.method, self.target, self.tenant_name, self.body)

    @cached_property
    def part_keys(self) -> tuple[PromptPartKey, ...]:
        """Parts of its prompt that other requests may share."""
        return shared_part_keys(self.service, [part.part_id for part in self.facts.prompt])

    @property
    def residence(self) -> Residence:
        """Regions in which its data may be processed: those allowed by both route and tenant."""
        route_residence = self.route.residence
        return (
            route_residence
            if self.tenant is None
            else route_residence.intersect(self.tenant.residence)
        )

    @property
    def is_resumable(self) -> bool:
        """Whether its answer is a stream that can be resumed at another back end."""
        return self.route.kind is RouteKind.STREAM and self.route.resumable

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller has the start of its answer from an earlier request."""
        return self.is_resumable and self.facts.resume_after is not None

    @property
    def priority(self) -> int:
        """Priority while waiting, 0 first: the tenant's if it has one, else the route's."""
        if self.tenant is None or self.tenant.priority is None:
            return self.route.priority
        return self.tenant.priority

    @property
    def deadline(self) -> float:
        """Monotonic time in seconds by which the caller must have the final answer."""
        limit_s = self.route.time_limit_s
        if self.facts.deadline_s is not None:
            limit_s = min(limit_s, self.facts.deadline_s)
        return self.received_at + limit_s

    @property
    def affinity_key(self) -> str:
        """Key of the long shared prompt that determines the preferred instance, or ''."""
        shared_parts = self.facts.prompt[:-1]
        if sum(part.tokens for part in shared_parts) < MIN_AFFINITY_TOKENS:
            return ""
        return ",".join(part.part_id for part in shared_parts)

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens that the back end must process if only a long shared prompt is cached."""
        if not self.affinity_key:
            return sum(part.tokens for part in self.facts.prompt)
        return sum(part.tokens for part in self.facts.prompt[-1:])


class AnswerSink(Protocol):
    """Receives an answer; if an error is raised, the caller's connection is closed."""

    async def send_whole(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        """Send a complete answer."""
        ...

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Start an answer of unknown length."""
        ...

    async def send_part(self, data: bytes) -> None:
        """Send bytes of a started answer."""
        ...


class AnswerTruncatedError(Exception):
    """A started answer can't be completed, so the caller's connection must be closed."""
