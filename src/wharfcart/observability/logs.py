"""Logs: JSON lines on standard error, with the ids of the current request."""

import logging
import sys
from contextvars import ContextVar
from dataclasses import dataclass

from pythonjsonlogger.json import JsonFormatter


@dataclass(frozen=True)
class RequestContext:
    """Ids that are added to each log line of a request."""

    request_id: str = ""
    tenant: str = ""
    service: str = ""
    trace: str = ""


request_context: ContextVar[RequestContext | None] = ContextVar("request_context", default=None)


class _ContextFilter(logging.Filter):
    def __init__(self, node_id: str) -> None:
        super().__init__()
        self._node_id = node_id

    def filter(self, record: logging.LogRecord) -> bool:
        record.node_id = self._node_id
        context = request_context.get()
        if context is not None:
            record.request_id = context.request_id
            record.tenant = context.tenant
            record.service = context.service
            if context.trace:
                record.trace = context.trace
        return True


def configure_logging(level: str, node_id: str) -> None:
    """Send all logs of the process to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "module"},
    )
    handler.setFormatter(formatter)
    handler.addFilter(_ContextFilter(node_id))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger("sanic").setLevel(logging.WARNING)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.getLogger("matplotlib").setLevel(logging.WARNING)
