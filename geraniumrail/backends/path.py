"""How new connections to backend servers are opened."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from aiohttp.client_proto import ResponseHandler

Handler = ResponseHandler
Connect = Callable[[], Awaitable[Handler]]
MakeHandler = Callable[[], Handler]


class Path(Protocol):
    """Implemented where other ways than a direct connection are known."""

    def suits(self, handler: Handler) -> bool:
        """Returns whether an idle connection may be used.

        :param handler: of the connection.
        """

    async def connect(self, address: str, direct: Connect, make: MakeHandler) -> Handler:
        """Opens a connection.

        :param address: of the backend server, ip:port.
        :param direct: opens it directly.
        :param make: makes the protocol of a connection that is opened otherwise.
        :raises OSError: if there is none.
        """


class DirectPath:
    """The only way of a process without links to entries."""

    def suits(self, handler: Handler) -> bool:
        """Returns True.

        :param handler: of the connection.
        """
        return True

    async def connect(self, address: str, direct: Connect, make: MakeHandler) -> Handler:
        """Opens a direct connection.

        :param address: of the backend server.
        :param direct: opens it.
        :param make: not used.
        """
        return await direct()
