"""Input and output lines of batch files in the OpenAI batch format."""

import json
import time

from wharfcart.backends.requests import SERVICES_PREFIX
from wharfcart.errors import Outcome


def service_name_of(item: dict[str, object]) -> str:
    """Return the service that an input line names, or ''."""
    url = str(item.get("url", ""))
    if url.startswith(SERVICES_PREFIX):
        return url.removeprefix(SERVICES_PREFIX).partition("/")[0]
    body = item.get("body")
    return str(body.get("model", "")) if isinstance(body, dict) else ""


def output_line(line: bytes, request_id: str, status: int, data: bytes) -> bytes:
    """Return the output line of an answered item."""
    try:
        body = json.loads(data)
    except ValueError:
        body = data.decode("utf-8", "replace")
    response = {"status_code": status, "request_id": request_id, "body": body}
    return _line(line, request_id, response, None)


def error_line(line: bytes, request_id: str, code: str, outcome: Outcome) -> bytes:
    """Return the output line of an item without an answer."""
    return _line(line, request_id, None, {"code": code, "outcome": outcome.value})


def _line(line: bytes, request_id: str, response: object, error: object) -> bytes:
    custom_id = json.loads(line).get("custom_id")
    output = {"id": request_id, "custom_id": custom_id, "response": response, "error": error}
    return json.dumps(output, separators=(",", ":")).encode()


def now_ms() -> int:
    """Return the wall clock in milliseconds since the epoch, for recorded timestamps."""
    return int(time.time() * 1000)
