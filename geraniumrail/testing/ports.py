"""Free ports on the loopback address."""

import contextlib
import socket

HOST = '127.0.0.1'


def free_addresses(count: int) -> list[str]:
    """Returns addresses that were free a moment ago.

    :param count: how many.
    """
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind((HOST, 0))
        return [f'{HOST}:{each.getsockname()[1]}' for each in sockets]
