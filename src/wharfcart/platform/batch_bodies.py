"""JSON bodies of the batch API: submissions and result pages."""

import base64
import binascii
import json
from collections.abc import Iterable
from typing import Any

from wharfcart.cluster.messages_pb2 import Header, ItemOutcome, RequestItem

# Of an id in a message.
MAX_SHOWN_ID = 64


class BadSubmissionError(Exception):
    """The body of a submission is malformed."""


def parse_items(body: bytes) -> list[RequestItem]:
    """Return the items of a submission.

    Raises:
        BadSubmissionError: the body is not valid JSON, a field is missing or malformed, or an id
            occurs twice; the message names the item.
    """
    try:
        entries = list(json.loads(body)["requests"])
    except (ValueError, LookupError, TypeError, RecursionError) as error:
        raise BadSubmissionError(f"no list of items: {type(error).__name__}") from error
    items_by_id: dict[str, RequestItem] = {}
    for position, entry in enumerate(entries):
        item = _parse_item(position, entry)
        if item.item_id in items_by_id:
            raise BadSubmissionError(f"item {position}: id {_shown(item.item_id)} occurs twice")
        items_by_id[item.item_id] = item
    return list(items_by_id.values())


def _parse_item(position: int, entry: Any) -> RequestItem:
    try:
        item = RequestItem(
            item_id=entry["id"],
            path=entry["path"],
            headers=[
                Header(name=name, value=str(value))
                for name, value in entry.get("headers", {}).items()
            ],
            body=base64.b64decode(entry.get("body", "")),
            tokens=int(entry.get("tokens", 0)),
        )
    except (ValueError, LookupError, TypeError, AttributeError, binascii.Error) as error:
        raise BadSubmissionError(f"item {position}: {type(error).__name__}: {error}") from error
    if not item.item_id:
        raise BadSubmissionError(f"item {position}: no id")
    return item


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
