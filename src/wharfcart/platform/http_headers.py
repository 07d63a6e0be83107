"""Headers of requests and responses between clients, wharfcart and model servers."""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

from wharfcart.configuration.instances import BackendInstance
from wharfcart.http.connection import ResponseHead
from wharfcart.http.grammar import parse_decimal, parse_whole_number
from wharfcart.platform import names

REQUEST_ID_HEADER = names.REQUEST_ID
RETRY_AFTER_HEADER = names.RETRY_AFTER
STATUS_WRONG_INSTANCE = 421
# A larger prompt is a mistake; its tokens are summed up over the requests of a back end.
MAX_PROMPT_TOKENS = 10_000_000
# A larger number of requests is a mistake.
MAX_REPORTED = 1_000_000

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
# A batch item has them from its id and its job.
_ITEM_HEADERS = frozenset({"host", names.REQUEST_ID})
_AUTHORIZATION_SCHEME = "bearer"

Value = TypeVar("Value")


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
        malformed: names of the headers that the pages define and whose values don't match them.
    """

    request_id: str
    deadline_s: float | None
    prompt: tuple[PromptPart, ...]
    output_tokens: int
    resume_after: int | None
    origin_request: str = ""
    malformed: tuple[str, ...] = ()


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


class _HeaderReader:
    """Reads values of headers; notes those that are malformed."""

    def __init__(self, headers: Iterable[tuple[str, str]]) -> None:
        self._values = {name.lower(): value for name, value in headers}
        self.malformed: list[str] = []

    def text(self, name: str) -> str:
        """Return a value as it is; '' if there is none or it is no text."""
        return self.parse(name, _parse_text) or ""

    def parse(self, name: str, parser: Callable[[str], Value | None]) -> Value | None:
        """Return a parsed value; None if there is none or it is malformed."""
        text = self._values.get(name)
        if text is None:
            return None
        value = parser(text)
        if value is None:
            self.malformed.append(name)
        return value


def parse_request_metadata(headers: Iterable[tuple[str, str]]) -> RequestMetadata:
    """Parse a client's headers; values that are malformed count as missing and are named."""
    reader = _HeaderReader(headers)
    deadline_ms = reader.parse(names.DEADLINE_MS, parse_decimal)
    tokens = reader.parse(names.TOKEN_COUNT, _parse_token_counts) or ()
    return RequestMetadata(
        request_id=reader.text(names.REQUEST_ID),
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        prompt=reader.parse(names.PROMPT_PREFIX, _parse_prompt) or (),
        output_tokens=tokens[1] if len(tokens) > 1 else 0,
        resume_after=reader.parse(names.LAST_EVENT_ID, parse_whole_number),
        origin_request=reader.text(names.RESUMES).strip(),
        malformed=tuple(reader.malformed),
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


def headers_for_item(
    item_id: str, host: str, headers: Iterable[tuple[str, str]]
) -> list[tuple[str, str]]:
    """Return the headers of a batch item; its id and the host of its job are the only ones."""
    own = [("host", host), (names.REQUEST_ID, item_id)]
    return own + [(name, value) for name, value in headers if name.lower() not in _ITEM_HEADERS]


def malformed_metadata(headers: Iterable[tuple[str, str]]) -> str:
    """Return the name of a client's header that is malformed and reaches servers, or ''."""
    malformed = parse_request_metadata(headers).malformed
    return next((name for name in malformed if name not in _REPLACED_HEADERS), "")


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
        state: Any = json.loads(report)
        counts: list[object] = [state["activeRequests"], state["queuedRequests"]]
    except (ValueError, LookupError, TypeError, RecursionError):
        return None
    numbers = [count for count in counts if type(count) is int and 0 <= count <= MAX_REPORTED]
    return sum(numbers) if len(numbers) == len(counts) else None


def parse_reported_load(head: ResponseHead) -> ReportedLoad | None:
    """Return the load in a response's header, or None if it is missing or malformed."""
    numbers = _parse_numbers(head.get(names.SERVER_LOAD) or "")
    if numbers is None or len(numbers) != 3 or max(numbers) > MAX_REPORTED:
        return None
    return ReportedLoad(*numbers)


def _parse_text(text: str) -> str | None:
    """Return a text that messages between nodes can carry; None if some bytes are no characters."""
    return text if text.isprintable() else None


def _parse_numbers(text: str) -> tuple[int, ...] | None:
    """Return whole numbers that are separated by commas; None if one is malformed."""
    numbers = []
    for part in text.split(","):
        number = parse_whole_number(part)
        if number is None:
            return None
        numbers.append(number)
    return tuple(numbers)


def _parse_token_counts(text: str) -> tuple[int, ...] | None:
    """Return the tokens of a prompt and the most that are generated."""
    counts = _parse_numbers(text)
    return counts if counts is not None and len(counts) <= 2 else None


def _parse_prompt(text: str) -> tuple[PromptPart, ...] | None:
    """Return the parts of a prompt; None if one is malformed."""
    if not text.strip():
        return ()
    parts = []
    for part in text.split(","):
        part_id, _, digits = part.strip(" \t").partition(":")
        tokens = parse_whole_number(digits)
        if not part_id or not part_id.isprintable() or tokens is None:
            return None
        parts.append(PromptPart(part_id, tokens))
    return tuple(parts) if sum(part.tokens for part in parts) <= MAX_PROMPT_TOKENS else None
