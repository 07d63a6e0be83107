"""Faults of the soak that strike the same process."""

import asyncio
import subprocess
import sys
from pathlib import Path

from wharfcart.experiments.serving_fleet import ServingNodeProcess
from wharfcart.soak.faults import KillFault, TerminateFault
from wharfcart.soak.plan import FaultKind, PlannedFault

SLEEP_COMMAND = [sys.executable, "-c", "import time; time.sleep(60)"]


class SingleProcessFleet:
    """Just enough of a fleet: one process that can be signalled and started again."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        node = ServingNodeProcess("gateway", "gateway-0", Path(), Path(), "", "", "")
        self.gateways = [node]
        self.stores: list[ServingNodeProcess] = []
        node.process = subprocess.Popen(SLEEP_COMMAND)

    def signal(self, node: ServingNodeProcess, number: int) -> None:
        assert node.process is not None
        node.process.send_signal(number)
        node.process.wait(10)

    def restart(self, node: ServingNodeProcess) -> None:
        node.process = subprocess.Popen(SLEEP_COMMAND)


def test_terminate_waits_for_the_signalled_process_not_its_replacement() -> None:
    """A run of the soak broke off: a kill had put another process in its place."""
    fleet = SingleProcessFleet()
    planned = PlannedFault(0.0, 0.0, FaultKind.TERMINATE, 0)

    async def scenario() -> None:
        stop = TerminateFault(fleet, planned)  # type: ignore[arg-type]
        kill = KillFault(fleet, planned)  # type: ignore[arg-type]
        await stop.inject()
        await kill.inject()
        await kill.recover()
        await asyncio.wait_for(stop.recover(), 5.0)

    try:
        asyncio.run(scenario())
        assert fleet.violations == []
        assert fleet.gateways[0].process is not None
        assert fleet.gateways[0].process.poll() is None
    finally:
        process = fleet.gateways[0].process
        if process is not None:
            process.kill()
            process.wait()
