"""Building of back-end requests from callers' requests: the same for online and batch."""

import json
from typing import Any

from wharfcart.backends.interface import BackendRequest
from wharfcart.configuration.schema import TemplateKind
from wharfcart.configuration.services import Service

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
SERVICES_PREFIX = "/v1/services/"
BATCH_PRIORITY = 100
FORWARDED_FIELDS = (
    "messages",
    "prompt",
    "temperature",
    "top_p",
    "stop",
    "seed",
    "presence_penalty",
    "frequency_penalty",
    "response_format",
    "tools",
    "tool_choice",
    "logprobs",
    "n",
)


def build_engine_request(
    service: Service, path: str, body: dict[str, Any], request_id: str, batch: bool
) -> BackendRequest:
    """Return the engine's request: model or adapter, system prompt, bounded tokens, priority."""
    passed = {name: body[name] for name in FORWARDED_FIELDS if name in body}
    if service.system_prompt and "messages" in passed:
        system = {"role": "system", "content": service.system_prompt}
        passed["messages"] = [system, *passed["messages"]]
    elif service.system_prompt and "prompt" in passed:
        passed["prompt"] = f"{service.system_prompt}\n{passed['prompt']}"
    wanted = body.get("max_completion_tokens") or body.get("max_tokens") or service.max_tokens
    stream = bool(body.get("stream")) and not batch
    passed |= {
        "model": service.target,
        "max_tokens": min(int(wanted), service.max_tokens),
        "priority": BATCH_PRIORITY if batch else service.priority,
        "stream": stream,
    }
    data = json.dumps(passed, separators=(",", ":")).encode()
    return BackendRequest(
        request_id, "POST", path, {"Content-Type": "application/json"}, data, stream
    )


def build_application_request(
    service: Service,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    request_id: str,
) -> BackendRequest:
    """Return an application server's request, below the template's path."""
    joined = f"{service.path.rstrip('/')}/{path.lstrip('/')}"
    return BackendRequest(request_id, method, joined, headers, body, False)


def build_batch_request(service: Service, line: bytes, request_id: str) -> BackendRequest:
    """Return the back-end request of one line of a batch file, which was checked when it came."""
    item = json.loads(line)
    body = item.get("body") or {}
    if service.kind is TemplateKind.MODEL:
        return build_engine_request(service, item["url"], body, request_id, batch=True)
    path = item["url"].removeprefix(SERVICES_PREFIX).partition("/")[2]
    data = json.dumps(body, separators=(",", ":")).encode()
    headers = {"Content-Type": "application/json"}
    return build_application_request(
        service, item.get("method", "POST"), path, headers, data, request_id
    )
