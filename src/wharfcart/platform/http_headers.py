"""Headers of requests and answers between clients, wharfcart and servers."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

from wharfcart.configuration.instances import BackendInstance
from wharfcart.http.connection import ResponseHead
from wharfcart.platform import names

REQUEST_ID_HEADER = names.REQUEST_ID
RETRY_AFTER_HEADER = names.RETRY_AFTER
STATUS_WRONG_INSTANCE = 421

# Headers that concern one connection, or that each hop writes itself.
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
    """A part of a prompt that other prompts may begin with, too."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a client's headers tell.

    Parameters
    ----------
    deadline_s: how long the client waits, or None.
    prompt: the prompt's parts in order; the last belongs to the request itself.
    output_tokens: the most that may be generated.
    resume_after: number of the last event that the client has, or None.
    """

    request_id: str
    deadline_s: float | None
    prompt: tuple[PromptPart, ...]
    output_tokens: int
    resume_after: int | None


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Requests running and waiting at a back end as it answered."""

    running: int
    waiting: int
    slots: int


def parse_request_metadata(headers: Iterable[tuple[str, str]]) -> RequestMetadata:
    """Read a client's headers; what is missing or can't be read counts as not given."""
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
    )


def parse_api_key(headers: Iterable[tuple[str, str]]) -> str:
    """Return the key that a client shows, or ''."""
    found = {name.lower(): value for name, value in headers}
    scheme, _, key = found.get(names.AUTHORIZATION, "").strip().partition(" ")
    return key.strip() if scheme.lower() == _AUTHORIZATION_SCHEME else ""


def without_api_key(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return headers without a client's key, which no server may see."""
    return [(name, value) for name, value in headers if name.lower() != names.AUTHORIZATION]


def headers_for_server(
    headers: Iterable[tuple[str, str]],
    instance_id: str,
    remaining_s: float,
    resume_after: int | None,
    tenant: str,
) -> list[tuple[str, str]]:
    """Return the headers with which a request is passed on to one incarnation of a server.

    Args:
        headers: of the client, without its key.
        instance_id: the incarnation; any other one refuses the request.
        remaining_s: until the client leaves.
        resume_after: number of the last event that the client has, or None.
        tenant: whose request it is; '' where that is not known.
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
    """Return the headers of a server's answer that are passed on."""
    return [(name, value) for name, value in head.headers if name not in _HOP_BY_HOP_HEADERS]


def was_not_run(head: ResponseHead) -> bool:
    """Whether the answer proves that the server did not run the request and never will."""
    return head.get(names.NOT_RUN) is not None or head.status == STATUS_WRONG_INSTANCE


def is_signed(head: ResponseHead) -> bool:
    """Whether the answer carries a server's signature."""
    return head.get(names.RESPONSE_STAMP) is not None


def load_report_request(instance: BackendInstance) -> tuple[str, list[tuple[str, str]]]:
    """Return path and headers of the call that asks a model server for its state."""
    return names.REPORT_PATH, [("host", f"{instance.host}:{instance.port}")]


def parse_request_count(report: bytes) -> int | None:
    """Return the requests that run or wait at a model server; None if its report can't be read."""
    try:
        state = json.loads(report)
        return int(state["activeRequests"]) + int(state["queuedRequests"])
    except (ValueError, LookupError, TypeError):
        return None


def parse_reported_load(head: ResponseHead) -> ReportedLoad | None:
    """Return the load that the answer tells, if it does."""
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
