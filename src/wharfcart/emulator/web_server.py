"""HTTP server of one emulated service."""

import logging

from aiohttp import web

# Injected faults drop connections, which aiohttp logs as errors.
logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)


class WebServer:
    """Serves one aiohttp application on one port."""

    def __init__(self, app: web.Application) -> None:
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.2
        )
        self.address = ""

    async def start(self, host: str, port: int) -> None:
        """Start to listen; port 0 selects a free port."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        bound = self._runner.addresses[0]
        self.address = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self._runner.cleanup()

    def crash(self) -> None:
        """Reset every connection and accept no further one, as the crash of a process does."""
        for site in list(self._runner.sites):
            listener = getattr(site, "_server", None)
            if listener is not None:
                listener.close()
        server = self._runner.server
        for connection in [] if server is None else list(server.connections):
            if connection.transport is not None:
                connection.transport.abort()
