"""Operators' interface: findings, revisions, rollback."""

import json
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


def _value(fleet: DevFleet, url: str) -> Any:
    key = {"Authorization": "Bearer dealer-09-key"}
    models = httpx.get(f"{url}/v1/models", headers=key).json()["data"]
    return next(m["parameters"]["office"] for m in models if m["id"] == "plates")


def test_stale_revision_is_refused_with_what_changed(fleet: DevFleet) -> None:
    before = _revision(fleet)
    assert _apply(fleet, _deployment("first"), before).status_code == 200
    refused = _apply(fleet, _deployment("second"), before)
    assert refused.status_code == 412
    changed = refused.json()["changed"]
    assert changed[0]["changes"][0]["after"]["parameters"] == {"office": "first"}
    assert _value(fleet, fleet.urls[2]) == "first"


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
    before, old = _revision(fleet), _value(fleet, fleet.urls[0])
    _apply(fleet, _deployment("to be undone"))
    body = {"to_revision": before, "author": "test", "wait": True}
    undone = httpx.post(f"{fleet.urls[1]}{ROOT}/rollback", json=body, headers=KEY, timeout=30)
    assert undone.json()["revision"] == before + 2
    assert {_value(fleet, url) for url in fleet.urls} == {old}


def test_plan_changes_nothing(fleet: DevFleet) -> None:
    before = _revision(fleet)
    body = {"document": _deployment("only planned")}
    plan = httpx.post(f"{fleet.urls[0]}{ROOT}/plan", json=body, headers=KEY).json()
    assert [change["key"] for change in plan["changes"]] == ["deployment/dealer-09/plates"]
    assert _revision(fleet) == before
