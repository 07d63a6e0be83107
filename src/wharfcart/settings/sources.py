"""Sources of settings: a TOML file; ``WHARFCART_*`` variables override it, flags override both."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wharfcart.errors import Finding, FindingsError

VARIABLE_PREFIX = "WHARFCART_"
CLIENT_VARIABLE_PREFIX = "WHARFCART_CLI_"  # settings of the client commands
SETTINGS_VARIABLE = "WHARFCART_SETTINGS"  # path of the settings file
NESTING_SEPARATOR = "__"


@dataclass(frozen=True)
class RawSettings:
    """Settings before validation.

    Attributes:
        path: path of the settings file.
        values: values by key; sections are nested mappings.
        sources: variable or flag that set a value, by dotted key; keys from the file are absent.
    """

    path: Path
    values: dict[str, Any]
    sources: dict[str, str]

    def finding(self, key: str, reason: str) -> Finding:
        """Return a finding about a value, with the value's source."""
        return Finding(self.sources.get(key, str(self.path)), key or "file", reason)


def read_raw_settings(
    path: Path, environment: Mapping[str, str], flags: Mapping[str, object] | None = None
) -> RawSettings:
    """Read and merge all sources.

    Args:
        path: path of the settings file.
        environment: environment variables; ``WHARFCART_JOURNAL__SHARDS`` sets ``journal.shards``.
            A value that is not valid TOML is text.
        flags: values by dotted key; None values are ignored.

    Raises:
        FindingsError: the file is unreadable or not valid TOML.
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
