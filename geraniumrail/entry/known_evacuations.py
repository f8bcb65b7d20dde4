"""The evacuations of data centres that control has told this entry."""

from collections.abc import Collection, Iterable

from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.entry import events
from geraniumrail.links.messages import ControlUpdate


class KnownEvacuations:
    """As new as the last update; without one the entry has no lease and serves nothing."""

    def __init__(self) -> None:
        """Starts empty."""
        self.data_centres: frozenset[str] = frozenset()

    def take(self, update: ControlUpdate, backends: Collection[Backend]) -> None:
        """Applies an update of the control leader.

        :param update: differences since the last update.
        :param backends: all that the entry knows.
        """
        if update.evacuated is None or self.data_centres == frozenset(update.evacuated):
            return
        self.data_centres = frozenset(update.evacuated)
        log(
            events.EVACUATIONS_APPLIED,
            evacuated=sorted(self.data_centres),
            held_back=sum(map(self.hold_back, backends)),
        )

    def hold_back(self, backend: Backend) -> bool:
        """Returns whether a backend server gets no requests.

        :param backend: the backend server.
        """
        return backend.data_centre in self.data_centres

    def hold_back_all(self, backends: Iterable[Backend], service: str) -> bool:
        """Returns whether a service has backend servers, and none of them gets requests.

        :param backends: all that the entry knows.
        :param service: name of the service.
        """
        held = [self.hold_back(backend) for backend in backends if backend.service == service]
        return bool(held) and all(held)
