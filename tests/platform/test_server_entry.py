"""Entries of servers, whoever wrote them: what can't be used names none and harms no other."""

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wharfcart.cluster.coordination import KeyChange
from wharfcart.configuration.instances import BackendInstance
from wharfcart.platform import server_entry

GOOD: dict[str, Any] = {
    "backend": "s",
    "address": "10.0.0.9:80",
    "zone": "z",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "warmupLeftMs": 250,
    "sequence": 4,
    "born": 1_764_700_000_000,
}
FLOOR_OF_CASES = 400

odd_values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**30), 10**30),
    st.floats(),
    st.text(max_size=40),
    st.sampled_from(["\ud800", "a\r\nb", "", "x" * 300, "10.0.0.9:0", "10.0.0.9:99999", ":80"]),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)


def read(entry: object, key: str = "servers/i-1") -> BackendInstance | None:
    value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    return server_entry.instance_from(KeyChange(key, 4, value))


def test_an_entry_names_a_back_end() -> None:
    assert read(GOOD) == BackendInstance(
        "i-1", "s", "10.0.0.9", 80, "z", 3, True, 0.25, 1_764_700_000_000
    )
    assert server_entry.instance_from(KeyChange("servers/i-1", 4, None)) is None


def test_what_it_need_not_say() -> None:
    entry = {key: GOOD[key] for key in ("backend", "address", "zone", "slots", "state")}
    instance = read(entry)
    assert instance is not None
    assert (instance.cold_for_s, instance.started_at_ms) == (0.0, None)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("backend", ["s"]),
        ("backend", None),
        ("backend", "\ud800"),
        ("address", "10.0.0.9:0"),
        ("address", "10.0.0.9:-4"),
        ("address", "10.0.0.9:99999"),
        ("address", "10.0.0.9:0000080999999"),
        ("address", ":80"),
        ("address", "a\r\nb:80"),
        ("zone", 3),
        ("slots", -5),
        ("slots", 10**30),
        ("slots", 2.7),
        ("slots", True),
        ("slots", "9"),
        ("state", "unheard of"),
        ("state", ["ready"]),
        ("warmupLeftMs", -1),
        ("warmupLeftMs", "1"),
        ("born", 1.5),
        ("born", -1),
        ("born", "1"),
    ],
)
def test_a_field_of_another_form_names_none(field: str, value: object) -> None:
    with pytest.raises(server_entry.BadEntryError, match=field):
        read({**GOOD, field: value})


@pytest.mark.parametrize("field", ["backend", "address", "zone", "slots", "state"])
def test_a_missing_field_names_none(field: str) -> None:
    with pytest.raises(server_entry.BadEntryError, match=field):
        read({key: value for key, value in GOOD.items() if key != field})


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"[" * 200_000,
        json.dumps(GOOD).replace("250", "Infinity").encode(),
        json.dumps(GOOD).replace('"slots": 3', '"slots": Infinity').encode(),
        json.dumps(GOOD).replace("250", "NaN").encode(),
    ],
)
def test_bytes_of_another_form_name_none(value: bytes) -> None:
    with pytest.raises(server_entry.BadEntryError):
        read(value)


@pytest.mark.parametrize(
    "key", ["servers/", "servers/a\r\nb", "servers/\u00e9", "servers/" + "i" * 300]
)
def test_an_id_that_no_header_can_carry_names_none(key: str) -> None:
    with pytest.raises(server_entry.BadEntryError):
        read(GOOD, key)


def _read_or_refuse(value: bytes) -> None:
    """Nothing but BadEntryError leaves the reader, and what it reads can be used."""
    try:
        instance = server_entry.instance_from(KeyChange("servers/i-1", 4, value))
    except server_entry.BadEntryError:
        return
    assert instance is not None
    assert instance.slots >= 1 and 0 < instance.port < 65_536
    assert 0 <= instance.cold_for_s <= 86_400
    assert {instance.service: instance.zone}
    f"{instance.service}{instance.zone}{instance.host}".encode()


@settings(max_examples=FLOOR_OF_CASES, derandomize=True, deadline=None)
@given(st.dictionaries(st.sampled_from(sorted(GOOD)), odd_values, max_size=3))
def test_no_entry_raises_anything_else(changed: dict[str, Any]) -> None:
    _read_or_refuse(json.dumps({**GOOD, **changed}).encode())


@settings(max_examples=FLOOR_OF_CASES, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_no_bytes_raise_anything_else(value: bytes) -> None:
    _read_or_refuse(value)
