"""Bad input gets a clear 4xx with `not_run`, and nothing is lost or leaked."""

import json
import socket
import time
from typing import Any

import httpx2 as httpx
import pytest

from wharfcart.experiments.dev_fleet import DevFleet

KEY = {"Authorization": "Bearer dealer-02-key"}
GOOD_LINE = {
    "custom_id": "a",
    "method": "POST",
    "url": "/v1/chat/completions",
    "body": {"model": "plates", "messages": [{"role": "user", "content": "x"}]},
}


def _post(fleet: DevFleet, path: str, **arguments: Any) -> httpx.Response:
    headers = KEY | arguments.pop("headers", {})
    return httpx.post(fleet.urls[0] + path, headers=headers, timeout=30, **arguments)


def _assert_refused(response: httpx.Response, status: int, text: str = "") -> None:
    body = response.json()
    assert response.status_code == status, body
    assert body["outcome"] == body["error"]["outcome"] == "not_run"
    assert response.headers["X-Wharfcart-Outcome"] == "not_run"
    assert text in json.dumps(body)


@pytest.mark.parametrize(
    ("content", "text"),
    [
        (b"{", "not JSON"),
        (b"[]", "not a JSON object"),
        (b'{"model": "notices"}', "messages"),
        (b'{"model": 5, "messages": []}', "model"),
        (b'{"model": "notices", "messages": "hello"}', "messages"),
        (b'{"model": "notices", "messages": [{"role": "user"}], "max_tokens": 0}', "max_tokens"),
        (b'{"model": "\xff"}', "UTF-8"),
        (b"[" * 100_000, "nested too deeply"),
    ],
)
def test_bad_chat_bodies(fleet: DevFleet, content: bytes, text: str) -> None:
    _assert_refused(_post(fleet, "/v1/chat/completions", content=content), 400, text)


def test_body_beyond_the_limit(fleet: DevFleet) -> None:
    response = _post(fleet, "/v1/chat/completions", content=b"x" * 17_000_000)
    _assert_refused(response, 413)


def _upload(fleet: DevFleet, data: bytes) -> httpx.Response:
    return _post(fleet, "/v1/files", content=data, headers={"Content-Type": "application/jsonl"})


def test_every_invalid_row_is_reported(fleet: DevFleet) -> None:
    good = json.dumps(GOOD_LINE)
    other = json.dumps(GOOD_LINE | {"custom_id": "b", "body": {"model": "nothing"}})
    twice = json.dumps(GOOD_LINE)
    data = "\n".join([good, "{", other, twice, "[]"]).encode() + b'\n{"\xff": 1}\n'
    response = _upload(fleet, data)
    _assert_refused(response, 400)
    found = {f["place"]: f["reason"] for f in response.json()["error"]["findings"]}
    assert set(found) == {"line 2", "line 3", "line 4", "line 5", "line 6"}
    assert "no service 'nothing'" in found["line 3"]
    assert "is used twice" in found["line 4"]
    assert found["line 6"] == "not UTF-8"


def test_line_beyond_the_limit_is_refused_before_it_ends(fleet: DevFleet) -> None:
    data = json.dumps(GOOD_LINE).encode() + b"\n" + b"x" * 100_000_000
    response = _upload(fleet, data)
    _assert_refused(response, 400, "line 2")


def test_another_tenants_ids_are_not_found(fleet: DevFleet) -> None:
    uploaded = _upload(fleet, json.dumps(GOOD_LINE).encode()).json()
    job = _post(fleet, "/v1/batches", json={"input_file_id": uploaded["id"]}).json()
    other = {"Authorization": "Bearer dealer-03-key"}
    url = fleet.urls[1]
    paths = [
        f"/v1/files/{uploaded['id']}",
        f"/v1/files/{uploaded['id']}/content",
        f"/v1/batches/{job['id']}",
        f"/v1/batches/{job['id']}/results",
        f"/v1/files/output-{job['id']}/content",
    ]
    for path in paths:
        _assert_refused(httpx.get(url + path, headers=other), 404)
    _assert_refused(httpx.post(f"{url}/v1/batches/{job['id']}/cancel", headers=other), 404)
    taken = httpx.post(f"{url}/v1/batches", headers=other, json={"input_file_id": uploaded["id"]})
    _assert_refused(taken, 404)


@pytest.mark.parametrize("path", ["/v1/batches/batch_ffff00", "/v1/files/file-zz", "/v1/x"])
def test_unknown_ids_and_paths(fleet: DevFleet, path: str) -> None:
    _assert_refused(httpx.get(fleet.urls[0] + path, headers=KEY), 404)


@pytest.mark.parametrize("headers", [{}, {"Authorization": "Bearer nobody"}])
def test_absent_or_wrong_key(fleet: DevFleet, headers: dict[str, str]) -> None:
    _assert_refused(httpx.get(f"{fleet.urls[0]}/v1/models", headers=headers), 401)
    _assert_refused(httpx.get(f"{fleet.urls[0]}/admin/v1/status", headers=headers), 401)


def test_same_key_with_another_body_conflicts(fleet: DevFleet) -> None:
    headers = {"Idempotency-Key": "conflict-test"}
    first = _post(fleet, "/v1/services/register/k1", json={"a": 1}, headers=headers)
    assert first.status_code == 200
    again = _post(fleet, "/v1/services/register/k1", json={"a": 1}, headers=headers)
    assert again.json() == first.json()
    assert again.headers["idempotent-replay"] == "true"
    other = _post(fleet, "/v1/services/register/k1", json={"a": 2}, headers=headers)
    _assert_refused(other, 422)


def test_finished_request_can_be_looked_up(fleet: DevFleet) -> None:
    headers = {"Idempotency-Key": "look-up-test"}
    first = _post(fleet, "/v1/services/register/k2", json={}, headers=headers)
    found = httpx.get(f"{fleet.urls[2]}/v1/requests/look-up-test", headers=KEY).json()
    assert found["state"] == "completed"
    assert json.loads(found["response"]) == first.json()


def test_repeated_stream_is_replayed_completely(fleet: DevFleet) -> None:
    headers = {"Idempotency-Key": "stream-test"}
    body = {
        "model": "notices",
        "messages": [{"role": "user", "content": "again"}],
        "stream": True,
    }
    first = _post(fleet, "/v1/chat/completions", json=body, headers=headers)
    again = _post(fleet, "/v1/chat/completions", json=body, headers=headers)
    assert first.text.endswith("data: [DONE]\n\n")
    assert again.text == first.text


def test_disconnected_client_cancels_its_request(fleet: DevFleet) -> None:
    host, port = fleet.urls[0].removeprefix("http://").split(":")
    body = json.dumps(
        {"model": "notices", "messages": [{"role": "user", "content": "gone"}], "stream": True}
    )
    with socket.create_connection((host, int(port))) as connection:
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer dealer-02-key\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        connection.sendall(head.encode() + body.encode())
        connection.recv(100)
    deadline = time.monotonic() + 10
    while _is_busy(fleet) and time.monotonic() < deadline:
        time.sleep(0.01)
    assert not _is_busy(fleet)


def _is_busy(fleet: DevFleet) -> bool:
    engines = any(engine.core.is_busy for engine in fleet.emulator.engines.values())
    owned = [backend for node in fleet.nodes for backend in node.owner.backends.values()]
    return engines or any(backend.gate.online for backend in owned)


def test_slow_clients_do_not_block_others(fleet: DevFleet) -> None:
    host, port = fleet.urls[0].removeprefix("http://").split(":")
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        "Authorization: Bearer dealer-02-key\r\nContent-Length: 1000\r\n\r\n{"
    )
    slow = [socket.create_connection((host, int(port))) for _ in range(50)]
    try:
        for connection in slow:
            connection.sendall(head.encode())
        assert _post(fleet, "/v1/chat/completions", json=GOOD_LINE["body"]).status_code == 200
    finally:
        for connection in slow:
            connection.close()
    assert _post(fleet, "/v1/chat/completions", json=GOOD_LINE["body"]).status_code == 200
