"""An answer that keeps its connection until its owner has accepted it."""

from typing import Any

from aiohttp import ClientResponse


class HeldResponse(ClientResponse):
    """The connection is reused only if `accept` was called and the answer has ended.

    The HTTP library gives a connection back as soon as an answer has ended, which may be before the
    owner knows whether it answers the request. Closing the answer then has no effect, and the
    server goes on with a request whose answer will be read as that of the next one.
    """

    def __init__(self, *args: Any, **params: Any) -> None:
        """Starts without trust.

        :param args: of the HTTP library.
        :param params: of the HTTP library.
        """
        super().__init__(*args, **params)
        self._accepted = False

    def accept(self) -> None:
        """Notes that the answer belongs to the request."""
        self._accepted = True
        if self.content.is_eof():
            self._response_eof()

    def _response_eof(self) -> None:
        if self._accepted:
            super()._response_eof()

    def _release_connection(self) -> None:
        if self._accepted:
            super()._release_connection()
        elif self._connection is not None:
            self._connection.close()
            self._connection = None
