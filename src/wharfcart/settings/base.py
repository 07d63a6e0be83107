"""What the settings of all processes are built from.

Apart from their schemas, so that a process loads and checks only its own.
"""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Endpoint = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]


class StrictSettings(BaseModel):
    """Unknown keys are findings."""

    model_config = ConfigDict(extra="forbid")


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return host and port."""
    host, port = endpoint.rsplit(":", 1)
    return host.strip("[]"), int(port)
