"""JSON bodies of the batch API: submissions and result pages."""

import base64
import binascii
import json
from collections.abc import Iterable

from wharfcart.cluster.messages_pb2 import Header, ItemOutcome, RequestItem


class BadSubmissionError(Exception):
    """The body of a submission is malformed."""


def parse_items(body: bytes) -> list[RequestItem]:
    """Return the items of a submission.

    Raises:
        BadSubmissionError: the body is not valid JSON or a field is missing or malformed.
    """
    try:
        return [
            RequestItem(
                item_id=item["id"],
                path=item["path"],
                headers=[
                    Header(name=name, value=str(value))
                    for name, value in item.get("headers", {}).items()
                ],
                body=base64.b64decode(item.get("body", "")),
                tokens=int(item.get("tokens", 0)),
            )
            for item in json.loads(body)["requests"]
        ]
    except (ValueError, LookupError, TypeError, AttributeError, binascii.Error) as error:
        raise BadSubmissionError(str(error)) from error


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
