"""Answers of a gateway's HTTP interface."""

from sanic.compat import Header
from sanic.response import HTTPResponse


def plain_response(
    status: int, headers: list[tuple[str, str]] | None = None, body: bytes = b""
) -> HTTPResponse:
    """Return an answer with just these headers."""
    return HTTPResponse(body=body, status=status, headers=Header(headers or []), content_type=None)
