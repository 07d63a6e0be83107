"""A server's entry in the metadata store, read with care: others may write there, too.

An entry of another form names no back end; what is wrong with it is told by :class:`BadEntryError`.
Nothing else is raised, whatever the bytes are.
"""

import json
import re
from ipaddress import ip_address
from typing import Any, NoReturn

from wharfcart.cluster.coordination import KeyChange
from wharfcart.configuration.instances import BackendInstance
from wharfcart.platform import names

# Longer names than this are none of an operator's; they would end up in each log line.
LONGEST_NAME = 256
# Far above any server: a number beyond it is a mistake, and would draw all requests there.
MOST_SLOTS = 100_000
MOST_PORT = 65_535
# A server that says it is cold for longer than a day is wrong.
MOST_COLD_MS = 86_400_000.0
# Milliseconds since 1970 that a signed 64-bit number holds.
MOST_BORN_MS = 2**63 - 1
_PORT = re.compile("[0-9]{1,5}")
_STATES = {"ready": True, "draining": False}


class BadEntryError(ValueError):
    """An entry names no back end; the text says why."""


def instance_from(change: KeyChange) -> BackendInstance | None:
    """Read a server's entry; None if it was removed.

    Raises:
        BadEntryError: it can't be read, or a field is missing or out of its range.
    """
    if change.value is None:
        return None
    entry = _document(change.value)
    host, port = _address(entry)
    return BackendInstance(
        instance_id=_instance_id(change.key.removeprefix(names.SERVER_PREFIX)),
        service=_name(entry, "backend"),
        host=host,
        port=port,
        zone=_name(entry, "zone"),
        slots=_whole(entry, "slots", 1, MOST_SLOTS),
        accepting=_accepting(entry),
        cold_for_s=_cold_ms(entry) / 1000,
        started_at_ms=None if entry.get("born") is None else _whole(entry, "born", 0, MOST_BORN_MS),
    )


def _document(value: bytes) -> dict[str, Any]:
    try:
        entry = json.loads(value, parse_constant=_no_number)
    except (ValueError, RecursionError) as error:
        raise BadEntryError(f"not JSON: {type(error).__name__}") from None
    if not isinstance(entry, dict):
        raise BadEntryError("not an object")
    return entry


def _no_number(text: str) -> NoReturn:
    raise BadEntryError(f"{text} is no number")


def _instance_id(text: str) -> str:
    # It goes into a header of each request that is sent there.
    if not 0 < len(text) <= LONGEST_NAME or not text.isascii() or not text.isprintable():
        raise BadEntryError("the id is no name")
    return text


def _name(entry: dict[str, Any], field: str) -> str:
    text = entry.get(field)
    if not isinstance(text, str) or not 0 < len(text) <= LONGEST_NAME or not text.isprintable():
        raise BadEntryError(f"{field} is no name")
    return text


def _address(entry: dict[str, Any]) -> tuple[str, int]:
    host, _, port = _name(entry, "address").rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise BadEntryError("address has no IP number") from None
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MOST_PORT:
        raise BadEntryError("address has no port")
    return host, int(port)


def _whole(entry: dict[str, Any], field: str, least: int, most: int) -> int:
    number = entry.get(field)
    if type(number) is not int or not least <= number <= most:
        raise BadEntryError(f"{field} is no whole number from {least} to {most}")
    return number


def _accepting(entry: dict[str, Any]) -> bool:
    state = entry.get("state")
    if not isinstance(state, str) or state not in _STATES:
        raise BadEntryError("state is neither ready nor draining")
    return _STATES[state]


def _cold_ms(entry: dict[str, Any]) -> float:
    number = entry.get("warmupLeftMs")
    if number is None:
        return 0.0
    if type(number) not in (int, float) or not 0 <= number <= MOST_COLD_MS:
        raise BadEntryError("warmupLeftMs is no time")
    return float(number)
