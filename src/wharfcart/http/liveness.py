"""Whether a process still listens, asked by opening a connection."""

import asyncio

from wharfcart.http.connection import ConnectFailedError, HttpConnection

# Longer than a round trip to another region, in which a connection is accepted or refused.
CHECK_TIMEOUT_S = 0.3
# A crashing process resets its connections one after the other; one that was accepted meanwhile is
# reset within this time.
RESET_DELAY_S = 0.02
MAX_CONNECTION_CHECKS = 2


async def refuses_connections(host: str, port: int) -> bool:
    """Whether an address refuses connections: its process has ended, its machine runs.

    A machine that does not respond has lost power or is cut off; this returns False for it.
    """
    for _ in range(MAX_CONNECTION_CHECKS):
        try:
            connection = await HttpConnection.open(host, port, CHECK_TIMEOUT_S)
        except ConnectFailedError as error:
            return error.refused
        await asyncio.sleep(RESET_DELAY_S)
        was_reset = connection.closed
        connection.close()
        if not was_reset:
            return False
    return False
