"""Tells a backend server that has ended from one that is cut off or has closed a connection."""

import asyncio

from geraniumrail.core.backend import Backend

# A machine whose process has ended refuses a connection within a round trip.
PROBE_TIMEOUT_S = 0.3


async def refuses_connections(backend: Backend) -> bool:
    """Returns whether the machine of a backend server answers that nothing listens there.

    :param backend: the backend server.
    """
    host, _, port = backend.address.rpartition(':')
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False  # cut off, which says nothing about the process
    writer.close()
    return False
