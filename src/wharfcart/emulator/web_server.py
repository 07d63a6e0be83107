"""Serving of one stand-in's aiohttp application on loopback."""

import logging

from aiohttp import web

logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)  # dropped connections are on purpose


class WebServer:
    """One aiohttp application on one port."""

    def __init__(self, app: web.Application) -> None:
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.2
        )
        self.address = ""

    async def start(self, host: str, port: int) -> None:
        """Listen; port 0 takes a free one."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        bound = self._runner.addresses[0]
        self.address = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Close."""
        await self._runner.cleanup()

    def crash(self) -> None:
        """End as a process that dies: every connection is reset, and none comes up any more."""
        for site in list(self._runner.sites):
            listener = getattr(site, "_server", None)
            if listener is not None:
                listener.close()
        server = self._runner.server
        for connection in [] if server is None else list(server.connections):
            if connection.transport is not None:
                connection.transport.abort()
