"""Machine list: interface, and the adapter for Prometheus HTTP service discovery."""

from dataclasses import dataclass
from typing import Protocol

import aiohttp

CALL_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class ListedMachine:
    """One back end as the list tells it, possibly some time ago."""

    machine_id: str
    kind: str
    application: str
    zone: str
    address: str
    leaving: bool


class MachineListUnavailableError(Exception):
    """The list could not be read."""


class MachineList(Protocol):
    """Source of live and leaving machines."""

    async def fetch(self) -> list[ListedMachine]:
        """Return the machines.

        Raises
        ------
        MachineListUnavailableError
        """
        ...


class PrometheusDiscovery:
    """Prometheus HTTP service discovery: target groups with labels."""

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url
        self._session = session

    async def fetch(self) -> list[ListedMachine]:
        """Return the machines."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.get(self._url, timeout=timeout) as response:
                response.raise_for_status()
                groups = await response.json()
            return [
                ListedMachine(
                    labels["id"],
                    labels["kind"],
                    labels.get("application", ""),
                    labels["zone"],
                    group["targets"][0],
                    labels.get("state") == "leaving",
                )
                for group in groups
                for labels in [group["labels"]]
            ]
        except (TimeoutError, aiohttp.ClientError, ValueError, LookupError) as error:
            raise MachineListUnavailableError(repr(error)) from error
