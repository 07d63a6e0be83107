"""Operators' interface: findings, revisions, rollback."""

import json
import time
from typing import Any

import httpx2 as httpx

from wharfcart.experiments.dev_fleet import DevFleet

KEY = {"Authorization": "Bearer admin-key"}
ROOT = "/admin/v1/configuration"


def _deployment(value: object) -> str:
    deployment = {
        "name": "plates",
        "tenant": "dealer-09",
        "template": "plate-check",
        "parameters": {"office": value},
    }
    return json.dumps({"deployments": [deployment]})


def _apply(fleet: DevFleet, document: str, revision: int | None = None) -> httpx.Response:
    headers = KEY if revision is None else KEY | {"If-Match": f'"{revision}"'}
    body = {"document": document, "file": "change.yaml", "wait": True}
    return httpx.post(fleet.urls[0] + ROOT, json=body, headers=headers, timeout=30)


def _revision(fleet: DevFleet) -> int:
    return int(httpx.get(fleet.urls[1] + ROOT, headers=KEY).json()["revision"])


def _office_parameter(fleet: DevFleet, url: str) -> Any:
    key = {"Authorization": "Bearer dealer-09-key"}
    models = httpx.get(f"{url}/v1/models", headers=key).json()["data"]
    return next(m["parameters"]["office"] for m in models if m["id"] == "plates")


def test_stale_revision_is_refused_with_the_newer_changes(fleet: DevFleet) -> None:
    before = _revision(fleet)
    assert _apply(fleet, _deployment("first"), before).status_code == 200
    refused = _apply(fleet, _deployment("second"), before)
    assert refused.status_code == 412
    changed = refused.json()["changed"]
    assert changed[0]["changes"][0]["after"]["parameters"] == {"office": "first"}
    assert _office_parameter(fleet, fleet.urls[2]) == "first"


def test_findings_change_nothing(fleet: DevFleet) -> None:
    before = _revision(fleet)
    refused = _apply(fleet, _deployment(5))
    assert refused.status_code == 422
    assert refused.json()["outcome"] == "not_run"
    (finding,) = refused.json()["error"]["findings"]
    assert finding["file"] == "change.yaml"
    assert "is not of type string" in finding["reason"]
    assert _revision(fleet) == before


def test_rollback_is_a_new_revision(fleet: DevFleet) -> None:
    before, old = _revision(fleet), _office_parameter(fleet, fleet.urls[0])
    _apply(fleet, _deployment("to be undone"))
    body = {"to_revision": before, "author": "test", "wait": True}
    undone = httpx.post(f"{fleet.urls[1]}{ROOT}/rollback", json=body, headers=KEY, timeout=30)
    assert undone.json()["revision"] == before + 2
    assert {_office_parameter(fleet, url) for url in fleet.urls} == {old}


def test_plan_changes_nothing(fleet: DevFleet) -> None:
    before = _revision(fleet)
    body = {"document": _deployment("only planned")}
    plan = httpx.post(f"{fleet.urls[0]}{ROOT}/plan", json=body, headers=KEY).json()
    assert [change["key"] for change in plan["changes"]] == ["deployment/dealer-09/plates"]
    assert _revision(fleet) == before


def test_new_adapter_is_loaded_and_served(own_fleet: DevFleet) -> None:
    fleet = own_fleet
    model = {
        "name": "registry-8b",
        "least_servers": 6,
        "adapters": ["notices", "dossiers", "plates", "appeals"],
    }
    template = {
        "name": "appeal",
        "kind": "model",
        "model": "registry-8b",
        "adapter": "appeals",
    }
    deployment = {"name": "appeals", "tenant": "dealer-09", "template": "appeal"}
    document = {"models": [model], "templates": [template], "deployments": [deployment]}
    assert _apply(fleet, json.dumps(document)).status_code == 200
    body = {"model": "appeals", "messages": [{"role": "user", "content": "against"}]}
    key = {"Authorization": "Bearer dealer-09-key"}
    deadline = time.monotonic() + 40
    while True:
        url = f"{fleet.urls[0]}/v1/chat/completions"
        answer = httpx.post(url, json=body, headers=key, timeout=30)
        if answer.status_code == 200 or time.monotonic() > deadline:
            break
        assert answer.json()["outcome"] == "not_run"
        time.sleep(0.2)
    assert answer.status_code == 200


def test_new_version_is_loaded_without_interrupting_streams(own_fleet: DevFleet) -> None:
    model = {"name": "registry-8b", "version": "2", "least_servers": 6}
    fleet = own_fleet
    adapters = ["notices", "dossiers", "plates"]
    document = {"models": [model | {"adapters": adapters}]}
    assert _apply(fleet, json.dumps(document)).status_code == 200
    engines = fleet.emulator.engines.values()
    body = {
        "model": "notices",
        "stream": True,
        "messages": [{"role": "user", "content": "meanwhile"}],
    }
    deadline = time.monotonic() + 40
    number = 0
    while all(engine.loaded_model.version != "2" for engine in engines):
        assert time.monotonic() < deadline
        url = f"{fleet.urls[number % 3]}/v1/chat/completions"
        key = {"Authorization": "Bearer dealer-10-key"}
        answer = httpx.post(url, json=body, headers=key, timeout=30)
        assert answer.text.endswith("data: [DONE]\n\n")
        number += 1
    held = [engine for engine in engines if engine.loaded_model.model_name == "registry-8b"]
    assert len(held) >= len(engines) - 1


def test_engine_refuses_a_command_of_an_earlier_epoch(fleet: DevFleet) -> None:
    engine = next(iter(fleet.emulator.engines.values()))
    url = f"http://{engine.address}/control/orders"
    order = {"order": "change_role", "name": "prefill", "epoch": 0, "sequence": 0}
    assert httpx.post(url, json=order).status_code == 409
    assert engine.loaded_model.role == "mixed"
