"""Settings of the serving processes: gateways and storage nodes of one fleet."""

from pathlib import Path
from typing import Self

from pydantic import Field, model_validator

from wharfcart.settings.base import Endpoint, StrictSettings


class ToleranceSettings(StrictSettings):
    """What may be lost at once while every promise is kept."""

    storage_nodes: int = Field(1, ge=0, le=8, description="storage nodes with their disks")
    zones: int = Field(0, ge=0, le=8, description="zones, with all nodes and back ends there")


class ServingSettings(StrictSettings):
    """One serving process."""

    node_id: str = Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
    zone: str = Field(min_length=1, max_length=64)
    regions_by_zone: dict[str, str] = Field(
        default_factory=dict, description="region of each zone of the fleet"
    )
    coordination: Endpoint = Field(description="the coordination service")
    cluster_listen: Endpoint = Field(description="other nodes, TCP")
    cluster_advertise: Endpoint | None = Field(
        None, description="address told to other nodes, where it is not cluster_listen"
    )
    seeds: list[str] = Field(
        default_factory=list, description="cluster addresses to ask before any peer is known"
    )
    first_start: bool = Field(False, description="the fleet starts for the first time")
    stop_within_s: float = Field(8.0, gt=0, description="time from SIGTERM to the end")
    tolerance: ToleranceSettings = ToleranceSettings()
    metrics_listen: Endpoint | None = Field(None, description="metrics over HTTP")

    @model_validator(mode="after")
    def _check_zone(self) -> Self:
        if self.regions_by_zone and self.zone not in self.regions_by_zone:
            raise ValueError(f"zone {self.zone!r} is not in regions_by_zone")
        return self

    @property
    def cluster_address(self) -> str:
        """Where other nodes reach this one."""
        return self.cluster_advertise or self.cluster_listen


class GatewaySettings(ServingSettings):
    """One gateway."""

    listen: Endpoint = Field(description="callers, HTTP")
    readiness_listen: Endpoint = Field(description="readiness, HTTP")


class StorageSettings(ServingSettings):
    """One storage node."""

    data_folder: Path = Field(description="folder on the node's disk")
    job_groups: int = Field(1, ge=1, le=1024, description="groups of jobs, fixed for good")
    keep_jobs_s: float = Field(180.0, gt=0, description="how long an ended job stays readable")
