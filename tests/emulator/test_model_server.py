"""The emulated server while it is cold."""

import asyncio

import aiohttp

from wharfcart.emulator.model_server import COLD_BURST_REQUESTS, COLD_RATE_FACTOR, ModelServer
from wharfcart.platform import names


def test_cold_server_reports_it_and_fails_above_its_capacity() -> None:
    async def scenario() -> None:
        server = ModelServer("i", 0, 0.0, slot_count=100)
        await server.server.start("127.0.0.1", 0)
        url = f"http://{server.server.address}"
        borne = int(COLD_RATE_FACTOR * 2.0 + COLD_BURST_REQUESTS)
        async with aiohttp.ClientSession() as client:
            assert server.backend_entry("s", "z")["warmupLeftMs"] == 0
            server.turn_cold(60.0, 2.0)
            assert 0 < int(str(server.backend_entry("s", "z")["warmupLeftMs"])) <= 60_000
            async with client.get(url + names.REPORT_PATH) as report:
                assert int(report.headers[names.COLD_MS]) > 0
            statuses = []
            for _ in range(borne + 3):
                async with client.post(url + "/x") as answer:
                    statuses.append(answer.status)
            async with client.post(url + "/x", headers={names.EXPECT_INSTANCE: "other"}) as answer:
                assert answer.status == 421
        await server.server.stop()
        assert statuses == [200] * borne + [500] * 3
        assert server.overload_count == 3

    asyncio.run(asyncio.wait_for(scenario(), 20))
