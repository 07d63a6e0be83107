"""Where settings come from: a TOML file, ``WHARFCART_*`` variables over it, flags over both."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wharfcart.errors import Finding, FindingsError

VARIABLE_PREFIX = "WHARFCART_"
CLIENT_VARIABLE_PREFIX = "WHARFCART_CLI_"  # read by the client commands, no settings of a process
SETTINGS_VARIABLE = "WHARFCART_SETTINGS"  # names the file itself
NESTING_SEPARATOR = "__"


@dataclass(frozen=True)
class RawSettings:
    """Settings as they are given, not checked yet.

    Attributes:
        path: of the file.
        values: by key, sections as mappings of their own.
        sources: what set a value, by dotted key; the file where none is named.
    """

    path: Path
    values: dict[str, Any]
    sources: dict[str, str]

    def finding(self, key: str, reason: str) -> Finding:
        """Return what is wrong with a value, with the place it came from."""
        return Finding(self.sources.get(key, str(self.path)), key or "file", reason)


def read_raw_settings(
    path: Path, environment: Mapping[str, str], flags: Mapping[str, object] | None = None
) -> RawSettings:
    """Read all sources.

    Args:
        path: of the file.
        environment: variables; ``WHARFCART_JOURNAL__SHARDS`` sets ``journal.shards``. A value is
            read as TOML where it is one, else as text.
        flags: dotted key to value; None is passed over.

    Raises:
        FindingsError: the file can't be read.
    """
    try:
        values: dict[str, Any] = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise FindingsError([Finding(str(path), "file", error.strerror or "unreadable")]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise FindingsError([Finding(str(path), "file", f"not TOML: {error}")]) from error
    sources: dict[str, str] = {}
    for name, text in environment.items():
        if name == SETTINGS_VARIABLE or name.startswith(CLIENT_VARIABLE_PREFIX):
            continue
        if name.startswith(VARIABLE_PREFIX):
            key = name.removeprefix(VARIABLE_PREFIX).lower().replace(NESTING_SEPARATOR, ".")
            _set_nested(values, key, _parse_value(text))
            sources[key] = name
    for key, value in (flags or {}).items():
        if value is not None:
            _set_nested(values, key, value)
            sources[key] = "--" + key.replace(".", "-").replace("_", "-")
    return RawSettings(path, values, sources)


def _parse_value(text: str) -> object:
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def _set_nested(values: dict[str, Any], key: str, value: object) -> None:
    *parents, last = key.split(".")
    for parent in parents:
        values = values.setdefault(parent, {})
    values[last] = value
