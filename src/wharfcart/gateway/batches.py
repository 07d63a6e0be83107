"""Handlers of the OpenAI files and batch API."""

import json as json_library
from collections.abc import AsyncIterator
from typing import Any

from pydantic import ValidationError
from python_multipart.multipart import MultipartParser, parse_options_header
from sanic import Request
from sanic.http import Http
from sanic.response import HTTPResponse, json

from wharfcart.batch.files import FileWriter, InvalidLinesError
from wharfcart.batch.jobs import NewJob
from wharfcart.cluster.messages_pb2 import JobView
from wharfcart.configuration.schema import Tenant
from wharfcart.errors import Finding, ServingError
from wharfcart.gateway.interface import GatewayContext, HttpRoute
from wharfcart.gateway.online import idempotency_key, parse_json
from wharfcart.gateway.responses import (
    bad_request,
    batch_object,
    error_response,
    file_object,
    request_id_of,
    validation_error,
)
from wharfcart.gateway.schema import BatchRequest
from wharfcart.http.grammar import parse_whole_number

OUTPUT_PREFIX = "output-"
ERRORS_PREFIX = "errors-"
JSONL_CONTENT_TYPE = "application/jsonl"
SEND_BUFFER_BYTES = 64 * 1024
MAX_LISTED_JOBS = 100


class BatchHandlers:
    """Handlers of files and batches."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    def routes(self) -> list[HttpRoute]:
        """Return the handlers with their paths and methods."""
        return [
            HttpRoute(self.upload, "/v1/files", "POST", streams_body=True),
            HttpRoute(self.get_file, "/v1/files/<file_id>", "GET"),
            HttpRoute(self.content, "/v1/files/<file_id>/content", "GET"),
            HttpRoute(self.create, "/v1/batches", "POST"),
            HttpRoute(self.list, "/v1/batches", "GET"),
            HttpRoute(self.get, "/v1/batches/<job_id>", "GET"),
            HttpRoute(self.cancel, "/v1/batches/<job_id>/cancel", "POST"),
            HttpRoute(self.results, "/v1/batches/<job_id>/results", "GET"),
        ]

    # ---- files ----

    async def upload(self, request: Request) -> HTTPResponse:
        """Store a JSONL file that is sent as a multipart form or as the plain body."""
        assert isinstance(request.stream, Http)
        request.stream.request_max_size = self._context.max_file_bytes
        tenant: Tenant = request.ctx.tenant
        writer = self._context.jobs.new_file(tenant.name)
        try:
            filename = await self._read_upload(request, writer)
            record = await writer.finish(filename)
        except InvalidLinesError as error:
            findings = [Finding("upload", f"line {row}", reason) for row, reason in error.findings]
            bad_lines = ServingError("bad_lines", f"{len(findings)} bad lines: {error}", 400)
            return error_response(bad_lines, request_id_of(request), findings)
        return json(file_object(record))

    async def _read_upload(self, request: Request, writer: FileWriter) -> str:
        kind, options = parse_options_header(request.headers.get("content-type", ""))
        if kind != b"multipart/form-data":
            async for chunk in _body_chunks(request):
                await writer.write(chunk)
            return "upload.jsonl"
        form = _MultipartFileReader(options.get(b"boundary"))
        async for chunk in _body_chunks(request):
            await writer.write(form.feed(chunk))
        await writer.write(form.finish())
        return form.filename

    async def get_file(self, request: Request, file_id: str) -> HTTPResponse:
        """Return the metadata of an input or output file."""
        tenant: Tenant = request.ctx.tenant
        if file_id.startswith((OUTPUT_PREFIX, ERRORS_PREFIX)):
            view = await self._context.jobs.find(tenant.name, _job_id_of(file_id))
            return json(
                {
                    "id": file_id,
                    "object": "file",
                    "purpose": "batch_output",
                    "filename": f"{file_id}.jsonl",
                    "bytes": 0,
                    "created_at": view.created_ms // 1000,
                }
            )
        return json(file_object(await self._context.jobs.find_file(tenant.name, file_id)))

    async def content(self, request: Request, file_id: str) -> HTTPResponse | None:
        """Stream the content of an input or output file."""
        tenant: Tenant = request.ctx.tenant
        jobs = self._context.jobs
        if file_id.startswith((OUTPUT_PREFIX, ERRORS_PREFIX)):
            view = await jobs.find(tenant.name, _job_id_of(file_id))
            lines = jobs.results(view, completed=file_id.startswith(OUTPUT_PREFIX))
        else:
            lines = jobs.file_lines(await jobs.find_file(tenant.name, file_id))
        await self._send_lines(request, lines)
        return None

    async def _send_lines(self, request: Request, lines: AsyncIterator[bytes]) -> None:
        response = await request.respond(content_type=JSONL_CONTENT_TYPE)
        buffer = bytearray()
        async for line in lines:
            buffer += line + b"\n"
            if len(buffer) >= SEND_BUFFER_BYTES:
                await response.send(bytes(buffer))
                buffer.clear()
        await response.send(bytes(buffer), True)

    # ---- batches ----

    async def create(self, request: Request) -> HTTPResponse:
        """Create a batch job."""
        body = parse_json(request.body)
        try:
            batch_request = BatchRequest.model_validate(body)
        except ValidationError as error:
            raise validation_error(error) from None
        metadata = batch_request.metadata
        new = NewJob(
            batch_request.input_file_id,
            batch_request.endpoint,
            batch_request.window_seconds(),
            b"" if metadata is None else json_library.dumps(metadata, sort_keys=True).encode(),
            idempotency_key(request),
        )
        view = await self._context.jobs.create(request.ctx.tenant, new)
        return json(batch_object(view))

    async def list(self, request: Request) -> HTTPResponse:
        """List the tenant's jobs, newest first."""
        tenant: Tenant = request.ctx.tenant
        limit = _integer_argument(request, "limit", 20, 1, MAX_LISTED_JOBS)
        views = await self._context.jobs.list(tenant.name, MAX_LISTED_JOBS)
        after = request.args.get("after")
        if after is not None:
            ids = [view.job_id for view in views]
            views = views[ids.index(after) + 1 :] if after in ids else []
        return json(_list_object(views, limit))

    async def get(self, request: Request, job_id: str) -> HTTPResponse:
        """Return a job."""
        tenant: Tenant = request.ctx.tenant
        return json(batch_object(await self._context.jobs.find(tenant.name, job_id)))

    async def cancel(self, request: Request, job_id: str) -> HTTPResponse:
        """Cancel a job."""
        tenant: Tenant = request.ctx.tenant
        return json(batch_object(await self._context.jobs.cancel(tenant.name, job_id)))

    async def results(self, request: Request, job_id: str) -> HTTPResponse | None:
        """Stream the available results of a range of input rows, in input order."""
        tenant: Tenant = request.ctx.tenant
        view = await self._context.jobs.find(tenant.name, job_id)
        first = _integer_argument(request, "first", 0, 0, view.total)
        limit = _integer_argument(request, "limit", int(view.total), 0, int(view.total))
        lines = self._context.jobs.results(view, None, first, first + limit)
        await self._send_lines(request, lines)
        return None


class _MultipartFileReader:
    """Incremental parser that extracts the ``file`` part of a multipart form."""

    def __init__(self, boundary: bytes | None) -> None:
        if not boundary:
            raise bad_request("multipart form without a boundary")
        self.filename = "upload.jsonl"
        self._data = bytearray()
        self._has_file = False
        self._in_file = False
        self._header_name = b""
        self._disposition = b""
        self._parser = MultipartParser(
            boundary,
            callbacks={
                "on_part_begin": self._part_begin,
                "on_header_field": self._header_field,
                "on_header_value": self._header_value,
                "on_headers_finished": self._headers_finished,
                "on_part_data": self._part_data,
                "on_part_end": self._part_end,
            },
        )

    def feed(self, data: bytes) -> bytes:
        """Parse the next bytes of the form and return the bytes of the file among them.

        Raises:
            ServingError: The form is malformed.
        """
        try:
            self._parser.write(data)
        except Exception as error:
            raise bad_request(f"bad multipart form: {error}") from None
        taken = bytes(self._data)
        self._data.clear()
        return taken

    def finish(self) -> bytes:
        """Return the remaining bytes of the file.

        Raises:
            ServingError: The form had no part named ``file``.
        """
        if not self._has_file:
            raise bad_request("the form has no part named 'file'")
        return bytes(self._data)

    def _part_begin(self) -> None:
        self._in_file = False
        self._disposition = b""

    def _header_field(self, data: bytes, start: int, end: int) -> None:
        self._header_name = data[start:end].lower()

    def _header_value(self, data: bytes, start: int, end: int) -> None:
        if self._header_name == b"content-disposition":
            self._disposition += data[start:end]

    def _headers_finished(self) -> None:
        _, options = parse_options_header(self._disposition)
        self._in_file = options.get(b"name") == b"file"
        if self._in_file:
            self._has_file = True
            name = options.get(b"filename", b"upload.jsonl")
            self.filename = name.decode("utf-8", "replace")[:200]

    def _part_data(self, data: bytes, start: int, end: int) -> None:
        if self._in_file:
            self._data += data[start:end]

    def _part_end(self) -> None:
        self._in_file = False


async def _body_chunks(request: Request) -> AsyncIterator[bytes]:
    stream = request.stream
    assert isinstance(stream, Http)
    while (chunk := await stream.read()) is not None:
        yield chunk


def _job_id_of(file_id: str) -> str:
    return file_id.removeprefix(OUTPUT_PREFIX).removeprefix(ERRORS_PREFIX)


def _list_object(views: list[JobView], limit: int) -> dict[str, Any]:
    page = views[:limit]
    return {
        "object": "list",
        "data": [batch_object(view) for view in page],
        "first_id": page[0].job_id if page else None,
        "last_id": page[-1].job_id if page else None,
        "has_more": len(views) > limit,
    }


def _integer_argument(request: Request, name: str, default: int, minimum: int, maximum: int) -> int:
    text = request.args.get(name)
    if text is None:
        return default
    number = parse_whole_number(text)
    if number is None or not minimum <= number <= maximum:
        raise bad_request(f"{name} must be a number from {minimum} to {maximum}")
    return number
