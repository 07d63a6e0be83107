"""Back ends that lose answers, refuse, and cut streams: nothing doubled, nothing half."""

import json
import time
from collections.abc import Iterator

import httpx2 as httpx
import pytest

from wharfcart.emulator.engine_core import answer_text
from wharfcart.emulator.faults import Faults
from wharfcart.experiments.dev_fleet import DevFleet

KEY = {"Authorization": "Bearer dealer-05-key"}


@pytest.fixture
def faulty(fleet: DevFleet) -> Iterator[DevFleet]:
    yield fleet
    for server in (*fleet.emulator.applications.values(), *fleet.emulator.engines.values()):
        server.switch.faults = Faults()


def _set_applications(fleet: DevFleet, **faults: object) -> None:
    for server in fleet.emulator.applications.values():
        server.switch.faults = Faults.model_validate(faults)


def _register(fleet: DevFleet, vehicle: str, node: int = 0) -> httpx.Response:
    headers = KEY | {"Idempotency-Key": vehicle}
    url = f"{fleet.urls[node]}/v1/services/register/{vehicle}"
    return httpx.post(url, json={"vehicle": vehicle}, headers=headers, timeout=30)


def _effect_count(fleet: DevFleet, vehicle: str) -> int:
    paths = [effect.path for effect in fleet.emulator.ledgers["registry"]]
    return paths.count(f"registrations/{vehicle}")


def test_outcome_of_a_lost_response_is_resolved_without_a_second_run(faulty: DevFleet) -> None:
    _set_applications(faulty, lost_answers=1)
    first = _register(faulty, "lost-1")
    assert first.status_code >= 500
    assert first.json()["outcome"] == "unknown"
    assert _effect_count(faulty, "lost-1") == 1
    # The same key through another node: the back end tells what became of it.
    again = _register(faulty, "lost-1", node=1)
    assert again.status_code == 200
    assert _effect_count(faulty, "lost-1") == 1


def test_look_up_resolves_an_unknown_outcome(faulty: DevFleet) -> None:
    _set_applications(faulty, lost_answers=1)
    assert _register(faulty, "lost-2").json()["outcome"] == "unknown"
    _set_applications(faulty)
    found = httpx.get(f"{faulty.urls[2]}/v1/requests/lost-2", headers=KEY).json()
    assert found["state"] == "completed"
    assert json.loads(found["response"])["path"] == "registrations/lost-2"


def test_refused_request_is_not_run_and_can_be_retried(faulty: DevFleet) -> None:
    _set_applications(faulty, refuse_part=1.0)
    refused = _register(faulty, "refused-1")
    assert refused.status_code == 503
    assert refused.json()["outcome"] == "not_run"
    assert "Retry-After" in refused.headers
    assert _effect_count(faulty, "refused-1") == 0
    _set_applications(faulty)
    assert _register(faulty, "refused-1").status_code == 200
    assert _effect_count(faulty, "refused-1") == 1


def test_outcome_during_an_outage_is_unknown_until_the_server_is_back(faulty: DevFleet) -> None:
    _set_applications(faulty, outage=True)
    answer = _register(faulty, "down-1")
    # The connection was made, so nobody can say that it did not run, until the server tells.
    assert answer.json()["outcome"] == "unknown"
    assert _effect_count(faulty, "down-1") == 0
    _set_applications(faulty)
    settled = httpx.get(f"{faulty.urls[0]}/v1/requests/down-1", headers=KEY).json()
    assert settled["state"] == "not_run"
    assert _register(faulty, "down-1").status_code == 200
    assert _effect_count(faulty, "down-1") == 1


def test_running_request_is_not_reported_as_not_run(faulty: DevFleet) -> None:
    """A back end asked too early must not let an effect happen that was called not run."""
    server = next(iter(faulty.emulator.applications.values()))
    server._running_ids.add("early")
    settle = f"http://{server.address}/effects/early/settle"
    assert httpx.post(settle).json()["state"] == "running"
    server._running_ids.discard("early")
    assert httpx.post(settle).json()["state"] == "not_run"


def test_interrupted_stream_is_resumed_and_complete(faulty: DevFleet) -> None:
    for engine in faulty.emulator.engines.values():
        engine.switch.faults = Faults(cut_streams=1)
    body = {
        "model": "notices",
        "stream": True,
        "messages": [{"role": "user", "content": "cut me"}],
    }
    url = f"{faulty.urls[0]}/v1/chat/completions"
    lines = httpx.post(url, json=body, headers=KEY, timeout=30).text.split("\n\n")
    chunks = [json.loads(line[6:]) for line in lines if line.startswith("data: {")]
    text = "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)
    assert text.strip() == answer_text("cut me", 48)
    assert "data: [DONE]" in lines


def test_repeatable_request_is_retried_on_another_server(faulty: DevFleet) -> None:
    one = next(iter(faulty.emulator.applications.values()))
    one.switch.faults = Faults(refuse_part=1.0)
    for number in range(20):
        url = f"{faulty.urls[number % 3]}/v1/services/status/{number}"
        assert httpx.get(url, headers=KEY, timeout=30).status_code == 200


def test_batch_item_runs_once_after_an_outage(faulty: DevFleet) -> None:
    _set_applications(faulty, outage=True)
    line = {
        "custom_id": "effect-1",
        "method": "POST",
        "url": "/v1/services/register/batch-1",
        "body": {"vehicle": "batch-1"},
    }
    root = faulty.urls[0]
    headers = KEY | {"Content-Type": "application/jsonl"}
    uploaded = httpx.post(f"{root}/v1/files", content=json.dumps(line), headers=headers).json()
    body = {"input_file_id": uploaded["id"]}
    job = httpx.post(f"{root}/v1/batches", json=body, headers=KEY).json()
    assert job["status"] == "in_progress"
    assert _effect_count(faulty, "batch-1") == 0
    _set_applications(faulty, lost_answers=1)
    deadline = time.monotonic() + 40
    while job["status"] != "completed" and time.monotonic() < deadline:
        time.sleep(0.1)
        job = httpx.get(f"{root}/v1/batches/{job['id']}", headers=KEY).json()
    assert job["item_counts"]["completed"] == 1
    assert _effect_count(faulty, "batch-1") == 1
