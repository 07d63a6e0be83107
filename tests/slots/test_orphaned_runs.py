"""Probing of back ends for orphaned runs."""

import asyncio

from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.configuration.instances import BackendInstance
from wharfcart.emulator.model_server import ModelServer
from wharfcart.observability.decisions import DecisionLog
from wharfcart.slots.orphaned_runs import OrphanedRuns


class FakeGranter:
    """Records reports; has no sessions, so that every run is orphaned."""

    def __init__(self) -> None:
        self.reports: list[tuple[str, int]] = []

    def backend_reported(self, instance_id: str, request_count: int) -> int:
        self.reports.append((instance_id, request_count))
        return request_count


async def begin_run(instance: BackendInstance) -> asyncio.StreamWriter:
    _, writer = await asyncio.open_connection(instance.host, instance.port)
    writer.write(b"POST /run HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nContent-Length: 0\r\n\r\n")
    return writer


def test_back_ends_are_probed_until_they_have_no_orphaned_runs() -> None:
    async def scenario() -> list[tuple[str, int]]:
        servers = [ModelServer(name, 60, 0.01) for name in ("busy", "idle")]
        instances = []
        for server in servers:
            await server.server.start("127.0.0.1", 0)
            host, _, port = server.server.address.rpartition(":")
            instances.append(
                BackendInstance(server.instance_id, "s", host, int(port), "z", 8, True)
            )
        unreachable = BackendInstance("dark", "s", "127.0.0.1", 1, "z", 8, True)
        writer = await begin_run(instances[0])
        granter = FakeGranter()
        pool = ConnectionPool()
        runs = OrphanedRuns(0, pool, lambda _service: 4, DecisionLog("test"))
        await runs.watch(granter, [*instances, unreachable])
        writer.close()
        pool.close()
        for server in servers:
            await server.server.stop()
        return granter.reports

    reports = asyncio.run(asyncio.wait_for(scenario(), 20))
    assert [request_count for name, request_count in reports if name == "idle"] == [0]
    assert [request_count for name, request_count in reports if name == "dark"] == [0]
    busy_reports = [request_count for name, request_count in reports if name == "busy"]
    assert busy_reports[0] == 1 and busy_reports[-1] == 0 and len(busy_reports) > 2
