"""Invalid entries of servers raise BadEntryError and nothing else."""

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wharfcart.cluster.coordination import KeyChange
from wharfcart.configuration.instances import UNNAMED_VERSION, BackendInstance, SoftwareVersion
from wharfcart.platform import server_entry

VALID_ENTRY: dict[str, Any] = {
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


def parse_entry(entry: object, key: str = "servers/i-1") -> BackendInstance | None:
    value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    return server_entry.parse_instance(KeyChange(key, 4, value))


def test_valid_entry_is_parsed() -> None:
    assert parse_entry(VALID_ENTRY) == BackendInstance(
        "i-1", "s", "10.0.0.9", 80, "z", 3, True, 0.25, 1_764_700_000_000, SoftwareVersion("v1")
    )
    assert server_entry.parse_instance(KeyChange("servers/i-1", 4, None)) is None


def test_optional_fields_have_defaults() -> None:
    entry = {key: VALID_ENTRY[key] for key in ("backend", "address", "zone", "slots", "state")}
    instance = parse_entry(entry)
    assert instance is not None
    assert (instance.cold_for_s, instance.started_at_ms) == (0.0, None)
    assert instance.version == UNNAMED_VERSION


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
        ("version", 2),
        ("version", ["v1"]),
        ("version", "\ud800"),
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
def test_invalid_field_is_rejected(field: str, value: object) -> None:
    with pytest.raises(server_entry.BadEntryError, match=field):
        parse_entry({**VALID_ENTRY, field: value})


@pytest.mark.parametrize("field", ["backend", "address", "zone", "slots", "state"])
def test_missing_field_is_rejected(field: str) -> None:
    with pytest.raises(server_entry.BadEntryError, match=field):
        parse_entry({key: value for key, value in VALID_ENTRY.items() if key != field})


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"[" * 200_000,
        json.dumps(VALID_ENTRY).replace("250", "Infinity").encode(),
        json.dumps(VALID_ENTRY).replace('"slots": 3', '"slots": Infinity').encode(),
        json.dumps(VALID_ENTRY).replace("250", "NaN").encode(),
    ],
)
def test_malformed_json_is_rejected(value: bytes) -> None:
    with pytest.raises(server_entry.BadEntryError):
        parse_entry(value)


@pytest.mark.parametrize(
    "key", ["servers/", "servers/a\r\nb", "servers/\u00e9", "servers/" + "i" * 300]
)
def test_id_that_is_no_valid_header_value_is_rejected(key: str) -> None:
    with pytest.raises(server_entry.BadEntryError):
        parse_entry(VALID_ENTRY, key)


def _read_or_refuse(value: bytes) -> None:
    """Parse an entry; check that it raises only BadEntryError and returns a valid instance."""
    try:
        instance = server_entry.parse_instance(KeyChange("servers/i-1", 4, value))
    except server_entry.BadEntryError:
        return
    assert instance is not None
    assert instance.slots >= 1 and 0 < instance.port < 65_536
    assert 0 <= instance.cold_for_s <= 86_400
    assert {instance.service: instance.zone}
    f"{instance.service}{instance.zone}{instance.host}".encode()


@settings(max_examples=FLOOR_OF_CASES, derandomize=True, deadline=None)
@given(st.dictionaries(st.sampled_from(sorted(VALID_ENTRY)), odd_values, max_size=3))
def test_no_entry_raises_anything_else(changed: dict[str, Any]) -> None:
    _read_or_refuse(json.dumps({**VALID_ENTRY, **changed}).encode())


@settings(max_examples=FLOOR_OF_CASES, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_no_bytes_raise_anything_else(value: bytes) -> None:
    _read_or_refuse(value)
