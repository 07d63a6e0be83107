"""Checked fields of the serving processes' settings.

A gateway has to serve within a moment of its start, and loading a schema library takes as long as
loading all of a gateway's own code. These settings are few and flat: a frozen
dataclass whose fields each carry a check.
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import MISSING, field, fields
from pathlib import Path
from typing import Any, TypeVar

Check = Callable[[object], object]
Model = TypeVar("Model")

_CHECK_KEY = "check"
_MISSING_MESSAGE = "Field required"
_UNKNOWN_MESSAGE = "Extra inputs are not permitted"


class FieldsError(ValueError):
    """Values that a model does not take.

    Attributes:
        reasons: why, by dotted key; '' for what concerns several fields.
    """

    def __init__(self, reasons: Mapping[str, str]) -> None:
        super().__init__("; ".join(f"{key}: {reason}" for key, reason in reasons.items()))
        self.reasons = dict(reasons)


def checked(check: Check, default: object = MISSING, factory: Any = MISSING) -> Any:
    """Return a dataclass field whose value passes a check, which may return it in another form."""
    return field(default=default, default_factory=factory, metadata={_CHECK_KEY: check})


def read_model(model: type[Model], values: Mapping[str, object]) -> Model:
    """Return a model's instance with checked values.

    Raises:
        FieldsError: values are missing, unknown or refused; every one of them is told.
    """
    reasons: dict[str, str] = {}
    taken: dict[str, object] = {}
    known = {one.name: one for one in fields(model)}  # type: ignore[arg-type]
    for key in values.keys() - known.keys():
        reasons[key] = _UNKNOWN_MESSAGE
    for name, one in known.items():
        if name not in values:
            if one.default is MISSING and one.default_factory is MISSING:
                reasons[name] = _MISSING_MESSAGE
            continue
        try:
            taken[name] = one.metadata[_CHECK_KEY](values[name])
        except FieldsError as error:
            reasons |= {f"{name}.{key}": reason for key, reason in error.reasons.items()}
        except ValueError as error:
            reasons[name] = str(error)
    if reasons:
        raise FieldsError(reasons)
    return model(**taken)


# ---- checks ----


def string(pattern: str = "", max_length: int | None = None, min_length: int = 0) -> Check:
    """Return a check for text that matches a pattern as a whole and has so many characters."""
    compiled = re.compile(pattern) if pattern else None

    def check(value: object) -> str:
        if not isinstance(value, str):
            raise ValueError("must be text")
        if len(value) < min_length or (max_length is not None and len(value) > max_length):
            raise ValueError(f"must have {min_length} to {max_length} characters")
        if compiled is not None and compiled.fullmatch(value) is None:
            raise ValueError(f"must match {pattern}")
        return value

    return check


def integer(minimum: int, maximum: int) -> Check:
    """Return a check for a whole number within bounds."""

    def check(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError("must be a whole number")
        if not minimum <= value <= maximum:
            raise ValueError(f"must be from {minimum} to {maximum}")
        return value

    return check


def positive_number(value: object) -> float:
    """Check a number above 0."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise ValueError("must be a number greater than 0")
    return float(value)


def boolean(value: object) -> bool:
    """Check true or false."""
    if not isinstance(value, bool):
        raise ValueError("must be true or false")
    return value


def directory_path(value: object) -> Path:
    """Check the path of a folder."""
    if not isinstance(value, str | Path):
        raise ValueError("must be a path")
    return Path(value)


def optional(check: Check) -> Check:
    """Return a check that takes None, too."""
    return lambda value: None if value is None else check(value)


def list_of(check: Check) -> Check:
    """Return a check for a list."""

    def check_list(value: object) -> list[object]:
        if not isinstance(value, list):
            raise ValueError("must be a list")
        return [check(one) for one in value]

    return check_list


def mapping_of(check: Check) -> Check:
    """Return a check for a mapping by text."""

    def check_mapping(value: object) -> dict[str, object]:
        if not isinstance(value, dict):
            raise ValueError("must be a section")
        return {str(key): check(one) for key, one in value.items()}

    return check_mapping


def section(model: type[Any]) -> Check:
    """Return a check for a section that is a model of its own."""

    def check_section(value: object) -> object:
        if isinstance(value, model):
            return value
        if not isinstance(value, dict):
            raise ValueError("must be a section")
        return read_model(model, value)

    return check_section
