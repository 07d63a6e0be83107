"""Validated dataclass fields for the settings of the serving processes.

A check function in the metadata of each field validates its value. Serving processes do not import
a schema library, because importing one delays their startup.
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
    """Values that are invalid for a model.

    Attributes:
        reasons: reason by dotted key; the key is '' if a reason concerns several fields.
    """

    def __init__(self, reasons: Mapping[str, str]) -> None:
        super().__init__("; ".join(f"{key}: {reason}" for key, reason in reasons.items()))
        self.reasons = dict(reasons)


def checked(check: Check, default: object = MISSING, factory: Any = MISSING) -> Any:
    """Return a dataclass field with a check.

    Args:
        check: validates a value and returns it, possibly converted; raises ValueError.
        default: default value.
        factory: function that returns the default value.
    """
    return field(default=default, default_factory=factory, metadata={_CHECK_KEY: check})


def read_model(model: type[Model], values: Mapping[str, object]) -> Model:
    """Return an instance of a model with validated values.

    Raises:
        FieldsError: values are missing, unknown or invalid; it has a reason for each of them.
    """
    reasons: dict[str, str] = {}
    accepted: dict[str, object] = {}
    known = {model_field.name: model_field for model_field in fields(model)}  # type: ignore[arg-type]
    for key in values.keys() - known.keys():
        reasons[key] = _UNKNOWN_MESSAGE
    for name, model_field in known.items():
        if name not in values:
            if model_field.default is MISSING and model_field.default_factory is MISSING:
                reasons[name] = _MISSING_MESSAGE
            continue
        try:
            accepted[name] = model_field.metadata[_CHECK_KEY](values[name])
        except FieldsError as error:
            reasons |= {f"{name}.{key}": reason for key, reason in error.reasons.items()}
        except ValueError as error:
            reasons[name] = str(error)
    if reasons:
        raise FieldsError(reasons)
    return model(**accepted)


# ---- checks ----


def string(pattern: str = "", max_length: int | None = None, min_length: int = 0) -> Check:
    """Return a check for text that has a length in a range and fully matches a pattern."""
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
    """Return a check for an integer in a range."""

    def check(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError("must be a whole number")
        if not minimum <= value <= maximum:
            raise ValueError(f"must be from {minimum} to {maximum}")
        return value

    return check


def positive_number(value: object) -> float:
    """Check that a value is a number greater than 0."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise ValueError("must be a number greater than 0")
    return float(value)


def boolean(value: object) -> bool:
    """Check that a value is a boolean."""
    if not isinstance(value, bool):
        raise ValueError("must be true or false")
    return value


def directory_path(value: object) -> Path:
    """Check that a value is a path."""
    if not isinstance(value, str | Path):
        raise ValueError("must be a path")
    return Path(value)


def optional(check: Check) -> Check:
    """Return a check that also accepts None."""
    return lambda value: None if value is None else check(value)


def list_of(check: Check) -> Check:
    """Return a check for a list whose items pass ``check``."""

    def check_list(value: object) -> list[object]:
        if not isinstance(value, list):
            raise ValueError("must be a list")
        return [check(item) for item in value]

    return check_list


def mapping_of(check: Check) -> Check:
    """Return a check for a mapping whose values pass ``check``."""

    def check_mapping(value: object) -> dict[str, object]:
        if not isinstance(value, dict):
            raise ValueError("must be a section")
        return {str(key): check(item) for key, item in value.items()}

    return check_mapping


def section(model: type[Any]) -> Check:
    """Return a check for a section that is parsed into ``model``."""

    def check_section(value: object) -> object:
        if isinstance(value, model):
            return value
        if not isinstance(value, dict):
            raise ValueError("must be a section")
        return read_model(model, value)

    return check_section
