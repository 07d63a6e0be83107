"""Validating parser for servers' entries in the metadata store.

Any process may write there, so the parser accepts arbitrary bytes: it raises :class:`BadEntryError`
for an invalid entry, and no other exception.
"""

import json
import re
from ipaddress import ip_address
from typing import Any, NoReturn

from wharfcart.cluster.coordination import KeyChange
from wharfcart.configuration.instances import (
    UNNAMED_VERSION,
    BackendInstance,
    SoftwareVersion,
)
from wharfcart.platform import names

# Names appear in log lines, which must stay short.
MAX_NAME_LENGTH = 256
# A larger number is a mistake and would attract all requests to one server.
MAX_SLOTS = 100_000
MAX_PORT = 65_535
# A warm-up longer than a day is a mistake.
MAX_COLD_MS = 86_400_000.0
# Maximum of a signed 64-bit integer.
MAX_STARTED_AT_MS = 2**63 - 1
_PORT = re.compile("[0-9]{1,5}")
_STATES = {"ready": True, "draining": False}


class BadEntryError(ValueError):
    """An entry is invalid; the message is the reason."""


def parse_instance(change: KeyChange) -> BackendInstance | None:
    """Parse a server's entry; return None if it was removed.

    Raises:
        BadEntryError: the entry is not a JSON object, or a field is missing or out of range.
    """
    if change.value is None:
        return None
    entry = _parse_object(change.value)
    host, port = _parse_address(entry)
    return BackendInstance(
        instance_id=_parse_instance_id(change.key.removeprefix(names.SERVER_PREFIX)),
        service=_parse_name(entry, "backend"),
        host=host,
        port=port,
        zone=_parse_name(entry, "zone"),
        slots=_parse_integer(entry, "slots", 1, MAX_SLOTS),
        accepting=_parse_accepting(entry),
        cold_for_s=_parse_cold_ms(entry) / 1000,
        started_at_ms=None
        if entry.get("born") is None
        else _parse_integer(entry, "born", 0, MAX_STARTED_AT_MS),
        version=_parse_version(entry),
    )


def _parse_object(value: bytes) -> dict[str, Any]:
    try:
        entry = json.loads(value, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise BadEntryError(f"not JSON: {type(error).__name__}") from None
    if not isinstance(entry, dict):
        raise BadEntryError("not an object")
    return entry


def _reject_constant(text: str) -> NoReturn:
    raise BadEntryError(f"{text} is no number")


def _parse_instance_id(text: str) -> str:
    # The id is sent as a header value with each request to the server.
    if not 0 < len(text) <= MAX_NAME_LENGTH or not text.isascii() or not text.isprintable():
        raise BadEntryError("the id is no name")
    return text


def _parse_name(entry: dict[str, Any], field: str) -> str:
    text = entry.get(field)
    if not isinstance(text, str) or not 0 < len(text) <= MAX_NAME_LENGTH or not text.isprintable():
        raise BadEntryError(f"{field} is no name")
    return text


def _parse_version(entry: dict[str, Any]) -> SoftwareVersion:
    if entry.get("version") in (None, ""):
        return UNNAMED_VERSION
    return SoftwareVersion(_parse_name(entry, "version"))


def _parse_address(entry: dict[str, Any]) -> tuple[str, int]:
    host, _, port = _parse_name(entry, "address").rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise BadEntryError("address has no IP number") from None
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise BadEntryError("address has no port")
    return host, int(port)


def _parse_integer(entry: dict[str, Any], field: str, minimum: int, maximum: int) -> int:
    number = entry.get(field)
    if type(number) is not int or not minimum <= number <= maximum:
        raise BadEntryError(f"{field} is no whole number from {minimum} to {maximum}")
    return number


def _parse_accepting(entry: dict[str, Any]) -> bool:
    state = entry.get("state")
    if not isinstance(state, str) or state not in _STATES:
        raise BadEntryError("state is neither ready nor draining")
    return _STATES[state]


def _parse_cold_ms(entry: dict[str, Any]) -> float:
    number = entry.get("warmupLeftMs")
    if number is None:
        return 0.0
    if type(number) not in (int, float) or not 0 <= number <= MAX_COLD_MS:
        raise BadEntryError("warmupLeftMs is no time")
    return float(number)
