"""Settings of the serving processes: gateways and storage nodes."""

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
    """Failures that the fleet tolerates at the same time.

    Attributes:
        storage_nodes: number of storage nodes that may fail, with their disks.
        zones: number of zones that may fail, with all their nodes and back ends.
    """

    storage_nodes: int = checked(integer(0, 8), 1)
    zones: int = checked(integer(0, 8), 0)


@dataclass(frozen=True, kw_only=True)
class ServingSettings:
    """Settings of one serving process.

    Attributes:
        node_id: name of the node.
        zone: zone of the node.
        regions_by_zone: region of each zone of the fleet.
        coordination: address of the coordination service.
        cluster_listen: listen address for other nodes, TCP.
        cluster_advertise: address announced to other nodes, if it differs from cluster_listen.
        seeds: cluster addresses to contact before any peer is known.
        first_start: whether the fleet starts for the first time.
        stop_within_s: maximum time from SIGTERM to exit, in seconds.
        tolerance: failures that the fleet tolerates at the same time.
        metrics_listen: listen address for metrics, HTTP.
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
        """Address at which other nodes reach this one."""
        return self.cluster_advertise or self.cluster_listen


@dataclass(frozen=True, kw_only=True)
class GatewaySettings(ServingSettings):
    """Settings of one gateway.

    Attributes:
        listen: listen address for callers, HTTP.
        readiness_listen: listen address for readiness checks, HTTP.
    """

    listen: str = checked(_ENDPOINT)
    readiness_listen: str = checked(_ENDPOINT)


@dataclass(frozen=True, kw_only=True)
class StorageSettings(ServingSettings):
    """Settings of one storage node.

    Attributes:
        data_folder: folder on the node's disk.
        job_groups: number of job groups; cannot change later.
        keep_jobs_s: how long a finished job stays readable after its end, in seconds.
    """

    data_folder: Path = checked(directory_path)
    job_groups: int = checked(integer(1, 1024), 1)
    keep_jobs_s: float = checked(positive_number, 180.0)


Settings = TypeVar("Settings", bound=ServingSettings)


def load_serving_settings(
    model: type[Settings], path: Path, environment: Mapping[str, str]
) -> Settings:
    """Read and validate the settings of a serving process.

    Args:
        model: settings class of the process's role.
        path: path of the settings file.
        environment: environment variables; they override the file.

    Raises:
        FindingsError: the settings are invalid; it has all findings with their sources.
    """
    given = read_raw_settings(path, environment)
    try:
        return read_model(model, given.values)
    except FieldsError as error:
        raise FindingsError(
            [given.finding(key, reason) for key, reason in error.reasons.items()]
        ) from error
