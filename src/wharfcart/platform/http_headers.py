"""Headers of requests and responses between clients, wharfcart and model servers."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

from wharfcart.configuration.instances import BackendInstance
from wharfcart.http.connection import ResponseHead
from wharfcart.platform import names

REQUEST_ID_HEADER = names.REQUEST_ID
RETRY_AFTER_HEADER = names.RETRY_AFTER
STATUS_WRONG_INSTANCE = 421

# Headers that apply to one connection only, and headers that each hop sets itself.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "content-length",
        "expect",
    }
)
_REPLACED_HEADERS = frozenset(
    {names.DEADLINE_MS, names.EXPECT_INSTANCE, names.LAST_EVENT_ID, names.TENANT}
)
_AUTHORIZATION_SCHEME = "bearer"


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; prompts that begin with the same parts share a prefix."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata of a request from the client's headers.

    Attributes:
        request_id: id of the request, or ''.
        deadline_s: how long the client waits, in seconds, or None.
        prompt: parts of the prompt in order; the last one is specific to the request.
        output_tokens: maximum number of generated tokens.
        resume_after: number of the last event that the client received, or None.
        origin_request: id of the request that brought the first event of the stream that the client
            resumes, or ''.
    """

    request_id: str
    deadline_s: float | None
    prompt: tuple[PromptPart, ...]
    output_tokens: int
    resume_after: int | None
    origin_request: str = ""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load of a back end when it sent a response.

    Attributes:
        running: requests that run.
        waiting: requests that wait.
        slots: requests that can run at once.
    """

    running: int
    waiting: int
    slots: int


def parse_request_metadata(headers: Iterable[tuple[str, str]]) -> RequestMetadata:
    """Parse a client's headers; ignore values that are malformed."""
    found = {name.lower(): value for name, value in headers}
    deadline_ms = _parse_number(found.get(names.DEADLINE_MS))
    tokens = (found.get(names.TOKEN_COUNT) or "").split(",")
    output = _parse_number(tokens[1]) if len(tokens) > 1 else None
    resume_after = _parse_number(found.get(names.LAST_EVENT_ID))
    return RequestMetadata(
        request_id=found.get(names.REQUEST_ID, ""),
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        prompt=_parse_prompt(found.get(names.PROMPT_PREFIX, "")),
        output_tokens=int(output or 0),
        resume_after=None if resume_after is None else int(resume_after),
        origin_request=found.get(names.RESUMES, "").strip(),
    )


def parse_api_key(headers: Iterable[tuple[str, str]]) -> str:
    """Return the API key of the authorization header, or ''."""
    found = {name.lower(): value for name, value in headers}
    scheme, _, key = found.get(names.AUTHORIZATION, "").strip().partition(" ")
    return key.strip() if scheme.lower() == _AUTHORIZATION_SCHEME else ""


def without_api_key(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return headers without the client's API key, which must not reach a server."""
    return [(name, value) for name, value in headers if name.lower() != names.AUTHORIZATION]


def headers_for_server(
    headers: Iterable[tuple[str, str]],
    instance_id: str,
    remaining_s: float,
    resume_after: int | None,
    tenant: str,
) -> list[tuple[str, str]]:
    """Return the headers of a request that is forwarded to one instance of a server.

    Args:
        headers: headers from the client, without its API key.
        instance_id: the instance; any other instance refuses the request.
        remaining_s: seconds until the client's deadline.
        resume_after: number of the last event that the client received, or None.
        tenant: tenant of the request, or '' if unknown.
    """
    passed = [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS and name.lower() not in _REPLACED_HEADERS
    ]
    passed.append((names.DEADLINE_MS, str(max(1, int(remaining_s * 1000)))))
    passed.append((names.EXPECT_INSTANCE, instance_id))
    if tenant:
        passed.append((names.TENANT, tenant))
    if resume_after is not None:
        passed.append((names.LAST_EVENT_ID, str(resume_after)))
    return passed


def headers_for_client(head: ResponseHead) -> list[tuple[str, str]]:
    """Return the headers of a server's response that are forwarded to the client."""
    return [(name, value) for name, value in head.headers if name not in _HOP_BY_HOP_HEADERS]


def was_not_run(head: ResponseHead) -> bool:
    """Return whether the response proves that the server did not and will not run the request."""
    return head.get(names.NOT_RUN) is not None or head.status == STATUS_WRONG_INSTANCE


def is_signed(head: ResponseHead) -> bool:
    """Return whether the response has the stamp of a server."""
    return head.get(names.RESPONSE_STAMP) is not None


def load_report_request(instance: BackendInstance) -> tuple[str, list[tuple[str, str]]]:
    """Return path and headers of the call that requests a model server's load report."""
    return names.REPORT_PATH, [("host", f"{instance.host}:{instance.port}")]


def parse_request_count(report: bytes) -> int | None:
    """Return the number of running and queued requests in a report; None if it is malformed."""
    try:
        state = json.loads(report)
        return int(state["activeRequests"]) + int(state["queuedRequests"])
    except (ValueError, LookupError, TypeError):
        return None


def parse_reported_load(head: ResponseHead) -> ReportedLoad | None:
    """Return the load in a response's header, or None if it is missing or malformed."""
    parts = (head.get(names.SERVER_LOAD) or "").split(",")
    if len(parts) != 3:
        return None
    try:
        running, waiting, slots = (int(part) for part in parts)
    except ValueError:
        return None
    return ReportedLoad(running, waiting, slots)


def _parse_prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for part in text.split(","):
        part_id, _, tokens = part.strip().partition(":")
        if part_id and tokens.isdigit():
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _parse_number(text: str | None) -> float | None:
    try:
        return None if text is None else float(text.strip())
    except ValueError:
        return None
