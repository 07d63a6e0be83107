"""Back ends of a soak that are replaced and crash at the same time."""

import asyncio

from wharfcart.emulator.model_server import ModelServer
from wharfcart.soak.fleet import SoakFleet


class FleetWithoutProcesses(SoakFleet):
    """Back ends only; one crashes and is restarted while another fault replaces it."""

    def __init__(self) -> None:
        self._seed = 1
        self.crashed = ModelServer("i-lm-0", 12, 0.02)
        self.restarted = ModelServer("i-after-end-1", 12, 0.02)
        self.stream_servers = [self.crashed]
        self.retired_servers: list[ModelServer] = []
        self.announced: list[tuple[str, str]] = []
        self._next_server_number = 2

    async def _add_server_proxy(self, _server: ModelServer) -> None:
        self.stream_servers[0] = self.restarted
        self.retired_servers.append(self.crashed)

    async def announce(self, server: ModelServer, service: str, state: str = "ready") -> None:
        self.announced.append((server.instance_id, state))


def test_a_back_end_that_was_restarted_during_its_replacement_is_drained() -> None:
    """Guards against a soak that breaks off: seed 328796991 of 15 s."""
    fleet = FleetWithoutProcesses()

    async def scenario() -> None:
        await fleet.replace_server(0)
        (new,) = fleet.stream_servers
        await new.server.stop()

    asyncio.run(scenario())
    assert fleet.retired_servers == [fleet.crashed, fleet.restarted]
    assert fleet.announced == [("i-lm-2", "ready"), ("i-after-end-1", "draining")]
