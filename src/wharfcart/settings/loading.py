"""Loading of settings that have a schema: every finding at once, with the place it came from."""

from collections.abc import Mapping
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from wharfcart.errors import Finding, FindingsError
from wharfcart.settings.sources import read_raw_settings

SettingsModel = TypeVar("SettingsModel", bound=BaseModel)


def load_settings(
    model: type[SettingsModel],
    path: Path,
    environment: Mapping[str, str],
    flags: Mapping[str, object] | None = None,
) -> Result[SettingsModel, list[Finding]]:
    """Read and check settings; return them, or every finding.

    Args:
        model: their schema.
        path: of the file.
        environment: variables, which go over the file.
        flags: dotted key to value, over both; None is passed over.
    """
    try:
        given = read_raw_settings(path, environment, flags)
    except FindingsError as error:
        return Failure(error.findings)
    try:
        return Success(model.model_validate(given.values))
    except ValidationError as error:
        return Failure(
            [
                given.finding(".".join(map(str, detail["loc"])), detail["msg"])
                for detail in error.errors()
            ]
        )
