"""Handlers of online requests: chat, completions, application services and models."""

import json as json_library
import uuid
from contextlib import aclosing
from dataclasses import replace
from typing import Any

import xxhash
from pydantic import BaseModel, ValidationError
from sanic import Request
from sanic.response import HTTPResponse, json, raw

from wharfcart.backends.interface import BackendPart, BackendRequest
from wharfcart.backends.requests import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    build_application_request,
    build_engine_request,
)
from wharfcart.clock import monotonic
from wharfcart.configuration.schema import TemplateKind, Tenant
from wharfcart.configuration.services import Service
from wharfcart.errors import Outcome, ServingError
from wharfcart.gateway.idempotency import IdempotentRequest, request_digest
from wharfcart.gateway.interface import GatewayContext, HttpRoute
from wharfcart.gateway.responses import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    bad_request,
    error_body,
    request_id_of,
    validation_error,
)
from wharfcart.gateway.schema import ChatCompletionRequest, CompletionRequest
from wharfcart.observability.logs import request_context

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 200
FORWARDED_REQUEST_HEADERS = ("content-type", "accept", "x-business-key", "traceparent")
PREFIX_BYTES = 512
APPLICATION_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


class OnlineHandlers:
    """Handlers of online requests."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    def routes(self) -> list[HttpRoute]:
        """Return the handlers with their paths and methods."""
        return [
            HttpRoute(self.chat, CHAT_PATH, "POST"),
            HttpRoute(self.completion, COMPLETIONS_PATH, "POST"),
            HttpRoute(self.models, "/v1/models", "GET"),
            *(
                HttpRoute(self.application, "/v1/services/<service>/<path:path>", method)
                for method in APPLICATION_METHODS
            ),
            HttpRoute(self.look_up, "/v1/requests/<key>", "GET"),
        ]

    async def models(self, request: Request) -> HTTPResponse:
        """List the tenant's services."""
        tenant: Tenant = request.ctx.tenant
        data = [
            {
                "id": service.name,
                "object": "model",
                "created": 0,
                "owned_by": tenant.name,
                "template": service.template,
                "kind": service.kind.value,
                "parameters": service.parameters,
            }
            for service in self._context.services.services_of(tenant.name)
        ]
        return json({"object": "list", "data": data})

    async def chat(self, request: Request) -> HTTPResponse | None:
        """Answer a chat completion, streamed on request."""
        return await self._infer(request, ChatCompletionRequest, CHAT_PATH)

    async def completion(self, request: Request) -> HTTPResponse | None:
        """Answer a text completion, streamed on request."""
        return await self._infer(request, CompletionRequest, COMPLETIONS_PATH)

    async def _infer(
        self, request: Request, model: type[BaseModel], path: str
    ) -> HTTPResponse | None:
        body = parse_json(request.body)
        try:
            model.model_validate(body)
        except ValidationError as error:
            raise validation_error(error) from None
        service = self._find_service(request, str(body["model"]), TemplateKind.MODEL)
        backend_request = build_engine_request(
            service, path, body, request_id_of(request), batch=False
        )
        prefix = xxhash.xxh3_64_hexdigest(backend_request.body[:PREFIX_BYTES])
        return await self._serve(request, service, backend_request, prefix)

    async def application(self, request: Request, service: str, path: str) -> HTTPResponse | None:
        """Forward a call to the service's application servers."""
        target = self._find_service(request, service, TemplateKind.APPLICATION)
        headers = {
            name: request.headers[name]
            for name in FORWARDED_REQUEST_HEADERS
            if name in request.headers
        }
        if request.query_string:
            path = f"{path}?{request.query_string}"
        backend_request = build_application_request(
            target, request.method, path, headers, request.body, request_id_of(request)
        )
        return await self._serve(request, target, backend_request, "")

    async def look_up(self, request: Request, key: str) -> HTTPResponse:
        """Return the outcome of a request by its Idempotency-Key or request id."""
        tenant: Tenant = request.ctx.tenant
        record = await self._context.idempotency.look_up(tenant.name, key)
        if not record.state:
            raise ServingError("request_not_found", f"no request under {key!r}", 404)
        body: dict[str, Any] = {
            "key": key,
            "state": record.state,
            "request_id": record.start.request_id,
        }
        if record.state == Outcome.COMPLETED:
            body["status_code"] = record.status
            body["response"] = record.response.decode("utf-8", "replace")
        return json(body)

    # ---- common path ----

    def _find_service(self, request: Request, name: str, kind: TemplateKind) -> Service:
        tenant: Tenant = request.ctx.tenant
        service = self._context.services.find_service(tenant.name, name)
        if service is None or service.kind is not kind:
            raise ServingError("service_not_found", f"no service {name!r}", 404)
        context = request_context.get()
        if context is not None:
            request_context.set(replace(context, service=name))
        return service

    async def _serve(
        self, request: Request, service: Service, backend_request: BackendRequest, prefix: str
    ) -> HTTPResponse | None:
        tenant: Tenant = request.ctx.tenant
        limiter = self._context.limiter
        await limiter.check(f"tenant/{tenant.name}", tenant.limits)
        await limiter.check(f"service/{tenant.name}/{service.name}", service.limits)
        started_at = monotonic()
        keyed = IdempotentRequest(
            service,
            backend_request,
            started_at + service.deadline_seconds,
            prefix,
            idempotency_key(request),
            request_digest(request.method, request.path, request.body),
        )
        async with aclosing(self._context.idempotency.run(keyed)) as parts:
            head = await anext(parts)
            self._context.metrics.first_byte_seconds.observe(monotonic() - started_at)
            if head.is_last:
                return raw(head.data, head.status, self._headers(head, request))
            response = await request.respond(
                status=head.status, headers=self._headers(head, request)
            )
            await response.send(head.data)
            try:
                async for part in parts:
                    await response.send(part.data)
            except ServingError as error:
                # The status is already sent: send the error as an event, without the end marker.
                data = json_library.dumps(error_body(error))
                await response.send(f"event: error\ndata: {data}\n\n")
            await response.eof()
            return None

    def _headers(self, head: BackendPart, request: Request) -> dict[str, str]:
        return head.headers | {
            REQUEST_ID_HEADER: request_id_of(request),
            OUTCOME_HEADER: Outcome.COMPLETED.value,
        }


def idempotency_key(request: Request) -> str | None:
    """Return the caller's idempotency key, or None.

    Raises:
        ServingError: The key is empty or too long.
    """
    key: str | None = request.headers.get(IDEMPOTENCY_KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        raise bad_request(f"{IDEMPOTENCY_KEY_HEADER} must have 1 to {MAX_KEY_LENGTH} characters")
    return key


def parse_json(body: bytes) -> dict[str, Any]:
    """Parse a body that must be a JSON object.

    Raises:
        ServingError: The body is not UTF-8, not JSON, not an object or nested too deeply.
    """
    try:
        value = json_library.loads(body)
    except UnicodeDecodeError:
        raise bad_request("the body is not UTF-8") from None
    except ValueError as error:
        raise bad_request(f"the body is not JSON: {error}") from None
    except RecursionError:
        raise bad_request("the body is nested too deeply") from None
    if not isinstance(value, dict):
        raise bad_request("the body is not a JSON object")
    return value


def new_request_id() -> str:
    """Return a new random request id."""
    return f"req-{uuid.uuid4().hex}"
