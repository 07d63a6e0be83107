"""A storage node remembers over its restart which software versions served."""

import asyncio
from pathlib import Path
from random import Random

from tests.routing.versioned_backends import backend
from wharfcart.configuration.instances import SoftwareVersion
from wharfcart.node.version_memory import VersionMemory
from wharfcart.observability.decisions import DecisionLog
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.origin_resolution import OriginEvidence, OriginReport, decide_origin
from wharfcart.storage.disk import Disk

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")


async def start_node(folder: Path) -> tuple[BackendSelector, VersionMemory, Disk]:
    disk = Disk(folder)
    await disk.open()
    selector = BackendSelector("z", Random(1))
    memory = VersionMemory(selector, disk, DecisionLog("test"))
    await memory.load()
    return selector, memory, disk


# Guards against a guess after a restart of all nodes: the version that began the streams has just
# gone, and the one that is left looks like the only one there was.
def test_a_version_that_went_before_a_restart_of_all_nodes_is_known_after_it(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        selector, memory, disk = await start_node(tmp_path)
        now = asyncio.get_running_loop().time()
        selector.put(backend("i1", V1), now)
        selector.put(backend("i2", V2), now)
        selector.remove("i1", now)
        await memory.save_changes()
        await disk.close()
        selector, _, disk = await start_node(tmp_path)
        selector.put(backend("i2", V2), now)
        known = selector.known_versions("s", now)
        assert known.versions == {V1, V2}
        decision = decide_origin("s", OriginReport(None, known, 20.0, 1, 1))
        assert decision.evidence is OriginEvidence.UNKNOWN
        await disk.close()

    asyncio.run(scenario())


# Guards against a version that is remembered for ever, and against a write for each entry.
def test_only_changes_are_saved(tmp_path: Path) -> None:
    async def scenario() -> None:
        selector, memory, disk = await start_node(tmp_path)
        now = asyncio.get_running_loop().time()
        selector.put(backend("i1", V1), now)
        await memory.save_changes()
        assert await disk.load_software() == {("s", V1)}
        selector.put(backend("i2", V1), now)
        await disk.save_software([])
        await memory.save_changes()
        assert await disk.load_software() == frozenset()
        await disk.close()

    asyncio.run(scenario())
