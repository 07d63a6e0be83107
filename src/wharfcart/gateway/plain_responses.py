"""Plain HTTP responses of a gateway."""

from sanic.compat import Header
from sanic.response import HTTPResponse


def plain_response(
    status: int, headers: list[tuple[str, str]] | None = None, body: bytes = b""
) -> HTTPResponse:
    """Return a response with only the given headers, without a default content type."""
    return HTTPResponse(body=body, status=status, headers=Header(headers or []), content_type=None)
