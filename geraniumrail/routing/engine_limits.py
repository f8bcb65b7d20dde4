"""The requests a second that backend servers say they take, as one entry knows them."""

from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.routing import events


class EngineLimits:
    """Limits by backend server."""

    def __init__(self) -> None:
        """Starts without limits."""
        self.per_s_by_instance: dict[str, float] = {}

    def named(self, backend: Backend, per_s: float | None, now: float) -> None:
        """Takes the limit that came with an answer.

        :param backend: which answered.
        :param per_s: requests a second from all entries together; None: no limit.
        :param now: monotonic seconds.
        """
        known = self.per_s_by_instance.get(backend.instance)
        if per_s == known:
            return
        log(events.LIMIT_NAMED, backend=backend.instance, service=backend.service, per_s=per_s)
        if per_s is None:
            self.per_s_by_instance.pop(backend.instance, None)
        else:
            self.per_s_by_instance[backend.instance] = per_s
