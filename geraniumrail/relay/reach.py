"""Whether this entry has a path to the backend servers."""

import math
from collections.abc import Callable

from geraniumrail.core.events import log
from geraniumrail.relay import events

# One server that fails may have ended. When several have failed and none has accepted between
# them, others are tried before this entry takes itself for cut off.
MIN_FAILED = 2
FAILED_WITHIN_S = 5.0
CONNECTED_WITHIN_S = 0.3  # before a server refused a connection
# While the entry is cut off, one connection in this time is also tried directly.
PROBE_INTERVAL_S = 0.4


class Reach:
    """Concludes from new connections; those that were opened before may live on or hang."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts with a path.

        :param now: returns monotonic seconds.
        """
        self.is_cut_off = False
        self.is_silent = False  # connections got no answer, rather than a refusal
        self._now = now
        self._failed_at_by_address: dict[str, float] = {}
        self._connected_at = -math.inf
        self._probed_at = -math.inf

    def note_connected(self, address: str) -> None:
        """Notes that a backend server has accepted a connection of this entry.

        :param address: ip:port.
        """
        self._failed_at_by_address.clear()
        self._connected_at = self._now()
        if self.is_cut_off:
            self.is_cut_off = False
            log(events.REACHED_AGAIN, address=address)

    def note_failed(self, address: str) -> bool:
        """Notes that a new connection has failed; returns whether the entry may be cut off.

        :param address: ip:port.
        """
        now = self._now()
        self._failed_at_by_address[address] = now
        self._failed_at_by_address = {
            each: at
            for each, at in self._failed_at_by_address.items()
            if now - at < FAILED_WITHIN_S
        }
        return len(self._failed_at_by_address) >= MIN_FAILED

    @property
    def failed(self) -> frozenset[str]:
        """Addresses that have failed lately."""
        return frozenset(self._failed_at_by_address)

    def cut_off(self, *, is_silent: bool) -> None:
        """Notes that other servers accept no connection either.

        :param is_silent: connections get no answer, rather than a refusal.
        """
        if not self.is_cut_off:
            self.is_cut_off = True
            self.is_silent = is_silent
            log(events.CUT_OFF, addresses=sorted(self.failed), is_silent=is_silent)

    def connected_lately(self) -> bool:
        """Returns whether a server has just accepted a connection, so that there is a path."""
        return self._now() - self._connected_at < CONNECTED_WITHIN_S

    def wants_probe(self) -> bool:
        """Returns whether a direct connection is to be tried, and notes that it is."""
        if not self.is_cut_off or self._now() < self._probed_at + PROBE_INTERVAL_S:
            return False
        self._probed_at = self._now()
        return True
