"""JSON bodies of the batch API: submissions and result pages."""

import base64
import json
from collections.abc import Iterable
from typing import Any

from wharfcart.cluster.messages_pb2 import Header, ItemOutcome, RequestItem
from wharfcart.http.grammar import is_field_name, is_field_value, is_target
from wharfcart.platform import http_headers

# Of an id in a message.
MAX_SHOWN_ID = 64
# Of an unsigned 32-bit field.
MAX_TOKENS = 2**32 - 1
# Headers that say where a request goes and ends.
_FRAMING_HEADERS = frozenset({"host", "content-length", "transfer-encoding"})


class BadSubmissionError(Exception):
    """The body of a submission is malformed."""


def parse_items(body: bytes) -> list[RequestItem]:
    """Return the items of a submission.

    Raises:
        BadSubmissionError: the body is not valid JSON, a field is missing or malformed, an item
            could not be sent to a server, or an id occurs twice; the message names the item.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadSubmissionError(f"no list of items: {type(error).__name__}") from error
    entries = document.get("requests") if isinstance(document, dict) else None
    if not isinstance(entries, list):
        raise BadSubmissionError("no list of items")
    items_by_id: dict[str, RequestItem] = {}
    for position, entry in enumerate(entries):
        try:
            item = _parse_item(entry)
        except BadSubmissionError as error:
            raise BadSubmissionError(f"item {position}: {error}") from error
        if item.item_id in items_by_id:
            raise BadSubmissionError(f"item {position}: id {_shown(item.item_id)} occurs twice")
        items_by_id[item.item_id] = item
    return list(items_by_id.values())


def unsendable_field(item: RequestItem) -> str:
    """Return the first field with which an item can't be sent to a server, or ''."""
    if not item.item_id or not is_field_value(item.item_id) or item.item_id.strip() != item.item_id:
        return "id"
    if not is_target(item.path):
        return "path"
    for header in item.headers:
        if not is_field_name(header.name) or not is_field_value(header.value):
            return f"header {_shown(header.name)}"
    return ""


def _parse_item(entry: Any) -> RequestItem:
    if not isinstance(entry, dict):
        raise BadSubmissionError("not an object")
    headers = _parse_headers(entry)
    try:
        item = RequestItem(
            item_id=_parse_text(entry, "id"),
            path=_parse_text(entry, "path"),
            headers=[Header(name=name, value=value) for name, value in headers.items()],
            body=_parse_body(entry),
            tokens=_parse_tokens(entry),
        )
    except UnicodeError as error:
        raise BadSubmissionError("a text has half of a surrogate pair") from error
    field = unsendable_field(item) or http_headers.malformed_metadata(headers.items())
    if field:
        raise BadSubmissionError(f"{field} is malformed")
    return item


def _parse_text(entry: dict[str, Any], field: str) -> str:
    text = entry.get(field)
    if not isinstance(text, str) or not text:
        raise BadSubmissionError(f"no {field}")
    return text


def _parse_headers(entry: dict[str, Any]) -> dict[str, str]:
    headers = entry.get("headers", {})
    if not isinstance(headers, dict):
        raise BadSubmissionError("headers is no object")
    found: set[str] = set()
    for name, value in headers.items():
        if type(value) not in (str, int):
            raise BadSubmissionError(f"header {_shown(name)} is no text")
        if name.lower() in _FRAMING_HEADERS or name.lower() in found:
            raise BadSubmissionError(f"header {_shown(name)} is not allowed, or occurs twice")
        found.add(name.lower())
    return {name: str(value) for name, value in headers.items()}


def _parse_body(entry: dict[str, Any]) -> bytes:
    text = entry.get("body", "")
    if not isinstance(text, str):
        raise BadSubmissionError("body is no text")
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise BadSubmissionError(f"body is no base64: {error}") from error


def _parse_tokens(entry: dict[str, Any]) -> int:
    tokens = entry.get("tokens", 0)
    if type(tokens) is not int or not 0 <= tokens <= MAX_TOKENS:
        raise BadSubmissionError(f"tokens is no whole number from 0 to {MAX_TOKENS}")
    return tokens


def _shown(item_id: str) -> str:
    """Return an id for a message, without characters that end a line."""
    return repr(item_id[:MAX_SHOWN_ID])


def encode_result_page(total: int, offset: int, results: Iterable[ItemOutcome]) -> bytes:
    """Return the JSON of a page of results; ``offset`` is the position of the first one."""
    rows = [
        {
            "id": result.item_id,
            "state": "succeeded" if result.succeeded else "dead_letter",
            "message": result.text.decode("utf-8", "replace"),
        }
        for result in results
    ]
    page = {"total": total, "nextPageToken": offset + len(rows), "results": rows}
    return json.dumps(page).encode()
