"""Which backend server is at an address."""

from geraniumrail.core.backend import Backend


class Addresses:
    """The server that was the last to start at each address, of those that are listed.

    Servers that don't name their start are left out: nothing tells which of two is there.
    """

    def __init__(self) -> None:
        """Starts without servers."""
        self._backends_by_address: dict[str, Backend] = {}
        self._addresses_by_instance: dict[str, str] = {}

    def add(self, backend: Backend) -> str | None:
        """Lists a server; returns the instance that it replaces at its address, if there is one.

        :param backend: an announcement that is not outdated.
        """
        if not backend.incarnation:
            return None
        if self._addresses_by_instance.get(backend.instance) != backend.address:
            self.remove(backend.instance)
        earlier = self._backends_by_address.get(backend.address)
        if earlier is not None and earlier.incarnation > backend.incarnation:
            return None
        self._backends_by_address[backend.address] = backend
        self._addresses_by_instance[backend.instance] = backend.address
        is_replaced = earlier is not None and _replaces(backend, earlier)
        return earlier.instance if is_replaced else None

    def remove(self, instance: str) -> None:
        """Ends the listing of a server.

        :param instance: the server.
        """
        address = self._addresses_by_instance.pop(instance, '')
        listed = self._backends_by_address.get(address)
        if listed is not None and listed.instance == instance:
            self._backends_by_address.pop(address)

    def is_replaced(self, backend: Backend) -> bool:
        """Returns whether another server has started at its address since it started.

        :param backend: an announcement, however late it has arrived.
        """
        latest = self._backends_by_address.get(backend.address)
        return latest is not None and _replaces(latest, backend)


def _replaces(later: Backend, earlier: Backend) -> bool:
    return later.instance != earlier.instance and 0 < earlier.incarnation < later.incarnation
