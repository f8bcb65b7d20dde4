"""Announcements that reached this entry and wait to be relayed to the control leader."""

from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import Clock


class Announces:
    """Keeps the newest announcement of each instance while its lease runs."""

    def __init__(self, clock: Clock) -> None:
        """Starts empty.

        :param clock: time.
        """
        self._clock = clock
        self._received_by_instance: dict[str, tuple[Backend, float]] = {}
        self._pending: dict[str, None] = {}

    def add(self, backend: Backend) -> None:
        """Takes an announcement.

        :param backend: the announcement.
        """
        expires_at = self._clock.now() + backend.lease_s
        self._received_by_instance[backend.instance] = (backend, expires_at)
        self._pending[backend.instance] = None

    def take_pending(self) -> tuple[Backend, ...]:
        """Returns what was not relayed yet."""
        pending = tuple(self._pending)
        self._pending = {}
        return self._live(pending)

    def requeue_all(self) -> None:
        """Relays everything again: a new control leader knows no backend servers."""
        self._pending = dict.fromkeys(self._received_by_instance)

    def _live(self, instances: tuple[str, ...]) -> tuple[Backend, ...]:
        now = self._clock.now()
        self._received_by_instance = {
            name: kept for name, kept in self._received_by_instance.items() if kept[1] >= now
        }
        found = (self._received_by_instance.get(instance) for instance in instances)
        return tuple(kept[0] for kept in found if kept is not None)
