"""Free ports on the loopback address."""

import contextlib
import itertools
import random
import socket

HOST = '127.0.0.1'
# Below the range from which the kernel takes the local ports of outgoing connections: such a port
# may be taken between the check and the start of the process that is to listen.
PORTS = range(12_000, 32_000)


def free_addresses(count: int) -> list[str]:
    """Returns addresses that were free a moment ago.

    :param count: how many.
    """
    shuffled = random.sample(PORTS, len(PORTS))
    free = (port for port in shuffled if _is_free(port))
    return [f'{HOST}:{port}' for port in itertools.islice(free, count)]


def _is_free(port: int) -> bool:
    with contextlib.closing(socket.socket()) as trial:
        return trial.connect_ex((HOST, port)) != 0
