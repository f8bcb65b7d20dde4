"""One client for each address."""

from typing import Any

from geraniumrail.links.client import LinkClient
from geraniumrail.links.tls import LinkTls


class LinkPool:
    """Creates clients on first use."""

    def __init__(self, tls: LinkTls | None = None) -> None:
        """Prepares the pool.

        :param tls: certificate, key and authority for mutual TLS.
        """
        self._tls = tls
        self._clients_by_address: dict[str, LinkClient] = {}

    def client(self, address: str) -> LinkClient:
        """Returns the client of an address.

        :param address: ip:port.
        """
        if address not in self._clients_by_address:
            self._clients_by_address[address] = LinkClient(address, self._tls)
        return self._clients_by_address[address]

    async def call(self, address: str, request: object, timeout_s: float) -> Any:
        """Calls the daemon at an address.

        :param address: ip:port.
        :param request: the record.
        :param timeout_s: limit in seconds.
        :raises LinkError: without an answer.
        """
        return await self.client(address).call(request, timeout_s)

    async def close(self) -> None:
        """Closes all connections."""
        for client in self._clients_by_address.values():
            await client.close()
