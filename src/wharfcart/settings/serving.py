"""Settings of the serving processes: gateways and storage nodes of one fleet."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from wharfcart.errors import FindingsError
from wharfcart.settings.base import ENDPOINT_PATTERN
from wharfcart.settings.fields import (
    FieldsError,
    boolean,
    checked,
    directory_path,
    integer,
    list_of,
    mapping_of,
    optional,
    positive_number,
    read_model,
    section,
    string,
)
from wharfcart.settings.sources import read_raw_settings

_ENDPOINT = string(ENDPOINT_PATTERN)


@dataclass(frozen=True, kw_only=True)
class ToleranceSettings:
    """What may be lost at once while every promise is kept.

    Attributes:
        storage_nodes: storage nodes with their disks.
        zones: zones, with all nodes and back ends there.
    """

    storage_nodes: int = checked(integer(0, 8), 1)
    zones: int = checked(integer(0, 8), 0)


@dataclass(frozen=True, kw_only=True)
class ServingSettings:
    """One serving process.

    Attributes:
        node_id: name of the node.
        zone: where it stands.
        regions_by_zone: region of each zone of the fleet.
        coordination: the coordination service.
        cluster_listen: other nodes, TCP.
        cluster_advertise: address told to other nodes, where it is not cluster_listen.
        seeds: cluster addresses to ask before any peer is known.
        first_start: the fleet starts for the first time.
        stop_within_s: time from SIGTERM to the end.
        tolerance: what may be lost at once.
        metrics_listen: metrics over HTTP.
    """

    node_id: str = checked(string(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"))
    zone: str = checked(string(min_length=1, max_length=64))
    regions_by_zone: dict[str, str] = checked(mapping_of(string()), factory=dict)
    coordination: str = checked(_ENDPOINT)
    cluster_listen: str = checked(_ENDPOINT)
    cluster_advertise: str | None = checked(optional(_ENDPOINT), None)
    seeds: list[str] = checked(list_of(string()), factory=list)
    first_start: bool = checked(boolean, False)
    stop_within_s: float = checked(positive_number, 8.0)
    tolerance: ToleranceSettings = checked(section(ToleranceSettings), ToleranceSettings())
    metrics_listen: str | None = checked(optional(_ENDPOINT), None)

    def __post_init__(self) -> None:
        if self.regions_by_zone and self.zone not in self.regions_by_zone:
            raise FieldsError({"": f"zone {self.zone!r} is not in regions_by_zone"})

    @property
    def cluster_address(self) -> str:
        """Where other nodes reach this one."""
        return self.cluster_advertise or self.cluster_listen


@dataclass(frozen=True, kw_only=True)
class GatewaySettings(ServingSettings):
    """One gateway.

    Attributes:
        listen: callers, HTTP.
        readiness_listen: readiness, HTTP.
    """

    listen: str = checked(_ENDPOINT)
    readiness_listen: str = checked(_ENDPOINT)


@dataclass(frozen=True, kw_only=True)
class StorageSettings(ServingSettings):
    """One storage node.

    Attributes:
        data_folder: folder on the node's disk.
        job_groups: groups of jobs, fixed for good.
        keep_jobs_s: how long an ended job stays readable.
    """

    data_folder: Path = checked(directory_path)
    job_groups: int = checked(integer(1, 1024), 1)
    keep_jobs_s: float = checked(positive_number, 180.0)


Settings = TypeVar("Settings", bound=ServingSettings)


def load_serving_settings(
    model: type[Settings], path: Path, environment: Mapping[str, str]
) -> Settings:
    """Read and check the settings of a serving process.

    Args:
        model: of its role.
        path: of the file.
        environment: variables, which go over the file.

    Raises:
        FindingsError: with every finding and the place it came from.
    """
    given = read_raw_settings(path, environment)
    try:
        return read_model(model, given.values)
    except FieldsError as error:
        raise FindingsError(
            [given.finding(key, reason) for key, reason in error.reasons.items()]
        ) from error
