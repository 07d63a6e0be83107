"""The catalogue of behaviours names switches of stand-ins that exist."""

import importlib
import re
from pathlib import Path

CATALOGUE = Path(__file__).parents[2] / "docs" / "protocol-behaviours.md"


def named_switches() -> list[tuple[str, str]]:
    return re.findall(r"`((?:wharfcart|tests)\.[\w.]+):([\w.]+)`", CATALOGUE.read_text())


def exists(module: str, name: str) -> bool:
    found: object = importlib.import_module(module)
    for attribute in name.split("."):
        if not hasattr(found, attribute):
            return False
        found = getattr(found, attribute)
    return True


# Guards against a catalogue that claims a behaviour which no stand-in draws.
def test_each_named_switch_exists() -> None:
    switches = named_switches()
    assert len(switches) > 20
    assert [switch for switch in switches if not exists(*switch)] == []
    assert not exists("wharfcart.soak.plan", "FaultKind.NO_SUCH_FAULT")


# Guards against a behaviour that is neither drawn nor listed as open.
def test_each_behaviour_is_drawn_or_open() -> None:
    rows = [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in CATALOGUE.read_text().splitlines()
        if line.startswith("|") and not line.startswith(("| ---", "| behaviour"))
    ]
    assert rows
    assert [row for row in rows if "**open**" not in row[1] and ":" not in row[1]] == []
