"""Responses of the gateway: OpenAI objects, and errors with their outcome."""

import math
from json import loads
from typing import Any

from pydantic import ValidationError
from sanic import Request
from sanic.response import HTTPResponse, json

from wharfcart.cluster.messages_pb2 import FileRecord, JobView
from wharfcart.errors import Finding, ServingError

OUTCOME_HEADER = "X-Wharfcart-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"


def error_headers(error: ServingError, request_id: str) -> dict[str, str]:
    """Return the headers of an error response."""
    headers = {OUTCOME_HEADER: error.outcome.value, REQUEST_ID_HEADER: request_id}
    if error.retry_after_seconds is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_seconds)))
    return headers


def error_body(error: ServingError, findings: list[Finding] | None = None) -> dict[str, Any]:
    """Return the OpenAI error object with the outcome."""
    kind = "invalid_request_error" if error.status < 500 else "server_error"
    body: dict[str, Any] = {
        "message": error.message,
        "type": kind,
        "param": None,
        "code": error.code,
        "outcome": error.outcome.value,
    }
    if findings:
        body["findings"] = [
            {"file": f.file, "place": f.place, "reason": f.reason} for f in findings
        ]
    return {"error": body, "outcome": error.outcome.value}


def error_response(
    error: ServingError, request_id: str = "", findings: list[Finding] | None = None
) -> HTTPResponse:
    """Return an error response."""
    return json(error_body(error, findings), error.status, error_headers(error, request_id))


def bad_request(message: str, code: str = "invalid_request", status: int = 400) -> ServingError:
    """Return the error for a malformed request, which did not run."""
    return ServingError(code, message, status)


def validation_error(error: ValidationError) -> ServingError:
    """Return one error that lists every invalid field."""
    reasons = [
        f"{'.'.join(str(step) for step in detail['loc'])}: {detail['msg']}"
        for detail in error.errors()
    ]
    return bad_request("; ".join(reasons))


def request_id_of(request: Request) -> str:
    """Return the id that the gateway assigned to a request, or ''."""
    return str(getattr(request.ctx, "request_id", ""))


def file_object(record: FileRecord) -> dict[str, Any]:
    """Return the OpenAI file object."""
    return {
        "id": record.file_id,
        "object": "file",
        "bytes": record.bytes,
        "created_at": record.created_ms // 1000,
        "filename": record.filename,
        "purpose": "batch",
        "status": "processed",
    }


def batch_object(view: JobView) -> dict[str, Any]:
    """Return the OpenAI batch object, with item counts by outcome."""
    failed = view.failed + view.unknown
    finished_at = view.finished_ms // 1000 if view.finished_ms else None
    cancelled = view.state == "cancelled"
    metadata = view.metadata.decode() if view.metadata else ""
    return {
        "id": view.job_id,
        "object": "batch",
        "endpoint": view.endpoint,
        "errors": None,
        "input_file_id": view.file_id,
        "completion_window": "24h",
        "status": view.state,
        "output_file_id": f"output-{view.job_id}" if finished_at else None,
        "error_file_id": f"errors-{view.job_id}" if finished_at and failed else None,
        "created_at": view.created_ms // 1000,
        "in_progress_at": view.created_ms // 1000,
        "expires_at": view.deadline_ms // 1000,
        "completed_at": None if cancelled else finished_at,
        "cancelling_at": view.cancelled_ms // 1000 if view.cancelled_ms else None,
        "cancelled_at": finished_at if cancelled else None,
        "request_counts": {"total": view.total, "completed": view.completed, "failed": failed},
        "item_counts": {
            "total": view.total,
            "completed": view.completed,
            "failed": view.failed,
            "unknown": view.unknown,
            "cancelled": view.cancelled,
            "leased": view.leased,
        },
        "metadata": _parse_metadata(metadata),
    }


def _parse_metadata(text: str) -> dict[str, str] | None:
    parsed: dict[str, str] | None = loads(text) if text else None
    return parsed
