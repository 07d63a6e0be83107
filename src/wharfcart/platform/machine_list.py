"""Machine list: its interface and a client for Prometheus HTTP service discovery."""

from dataclasses import dataclass
from typing import Protocol

import aiohttp

CALL_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class ListedMachine:
    """One back end in the list, which may be out of date.

    Attributes:
        leaving: whether the machine is about to shut down.
    """

    machine_id: str
    kind: str
    application: str
    zone: str
    address: str
    leaving: bool


class MachineListUnavailableError(Exception):
    """The machine list is unreachable or malformed."""


class MachineList(Protocol):
    """Source of the machines that run or are about to shut down."""

    async def fetch(self) -> list[ListedMachine]:
        """Return the machines.

        Raises:
            MachineListUnavailableError: the list is unreachable or malformed.
        """
        ...


class PrometheusDiscovery:
    """Machine list from the target groups of Prometheus HTTP service discovery."""

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
