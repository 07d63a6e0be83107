"""Serving processes must not import slow libraries, which would delay a restart of the fleet."""

import subprocess
import sys

import pytest


def loaded_after(modules: str) -> set[str]:
    code = f"import sys, {modules}; print(*sys.modules)"
    ran = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True)
    return set(ran.stdout.split())


@pytest.mark.parametrize("role", ["gateway_process", "storage_process"])
def test_settings_are_checked_without_a_schema_library(role: str) -> None:
    loaded = loaded_after(f"wharfcart.node.roles, wharfcart.node.{role}")
    assert not loaded & {"pydantic", "returns"}
