"""Settings of a node and of the emulator."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from wharfcart.settings.base import ENDPOINT_PATTERN

Endpoint = Annotated[str, Field(pattern=f"^{ENDPOINT_PATTERN}$")]


class StrictSettings(BaseModel):
    """Settings that reject unknown keys."""

    model_config = ConfigDict(extra="forbid")


class LogSettings(StrictSettings):
    """Settings of the logs."""

    level: Literal["debug", "info", "warning", "error"] = "info"


class JournalSettings(StrictSettings):
    """Initial layout of the journal; used only by the node that creates it."""

    shards: int = Field(3, ge=1, le=1024, description="number of journal shards, fixed")
    replicas: int = Field(3, ge=2, le=7, description="replicas of each shard")
    retention_hours: float = Field(24.0, gt=0, description="how long finished work stays readable")


class NodeSettings(StrictSettings):
    """Settings of one node."""

    node_id: str = Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
    zone: str = Field(min_length=1, max_length=64)
    region: str = "main"
    listen: Endpoint = Field(description="callers and operators, HTTP")
    cluster_listen: Endpoint = Field(description="other nodes, TCP and UDP")
    cluster_advertise: Endpoint | None = Field(
        None, description="address announced to other nodes, if it differs"
    )
    seeds: list[Endpoint] = Field(default_factory=list, description="cluster addresses to join by")
    key_value: Endpoint = Field(description="etcd v3 JSON gateway")
    machine_list: str = Field(description="URL of the Prometheus HTTP service discovery list")
    admin_key_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    data_folder: Path | None = Field(None, description="makes the node a storage node")
    journal: JournalSettings = JournalSettings()
    log: LogSettings = LogSettings()
    most_file_bytes: int = Field(1_000_000_000, ge=1024)
    most_line_bytes: int = Field(1_000_000, ge=1024)


class EngineSettings(StrictSettings):
    """Emulated inference engines of one zone."""

    zone: str
    count: int = Field(1, ge=0, le=64)
    models: list[str] = Field(default_factory=list, description="models loaded at startup")


class ApplicationSettings(StrictSettings):
    """Emulated application servers of one zone."""

    zone: str
    name: str
    count: int = Field(1, ge=0, le=64)


class ProxySettings(StrictSettings):
    """Fault-injecting proxy in front of one node's cluster address."""

    name: str
    listen: Endpoint
    target: Endpoint


class EmulatorSettings(StrictSettings):
    """Emulators of the platform and the back ends, in one process."""

    listen_host: str = "127.0.0.1"
    first_port: int = Field(0, ge=0, le=65_000, description="0 selects free ports")
    speed: float = Field(1.0, gt=0, le=1000, description="divides all simulated times")
    engines: list[EngineSettings] = Field(default_factory=list)
    applications: list[ApplicationSettings] = Field(default_factory=list)
    proxies: list[ProxySettings] = Field(default_factory=list)
    machine_list_lag_seconds: float = Field(1.0, ge=0)
    key_value_calls_per_second: float = Field(200.0, gt=0)
    seed: int = 1
    log: LogSettings = LogSettings()
