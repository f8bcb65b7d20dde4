"""Backend servers that have asked this entry for a pause."""

import math
from collections.abc import Mapping

from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.routing import events

LONGEST_S = 3600.0


class EnginePauses:
    """Ends of the pauses, by incarnation: a backend server that starts again has asked nothing."""

    def __init__(self) -> None:
        """Starts without pauses."""
        self._until_by_instance: dict[str, tuple[int, float]] = {}

    def begin(self, backend: Backend, seconds: float, now: float) -> None:
        """Notes that a backend server wants nothing from this entry for a time.

        :param backend: which asked.
        :param seconds: how long, as it was told.
        :param now: monotonic seconds.
        """
        _, known_until = self._until_by_instance.get(backend.instance, (0, now))
        until = max(known_until, now + min(LONGEST_S, seconds))
        log(events.PAUSED, backend=backend.instance, seconds=round(until - now, 3))
        self._until_by_instance = {
            instance: pause for instance, pause in self._until_by_instance.items() if pause[1] > now
        }
        self._until_by_instance[backend.instance] = (backend.incarnation, until)

    def begin_as_told(self, backend: Backend, fields: Mapping[str, object], now: float) -> None:
        """Notes the pause that a refusal asks for, if it does.

        :param backend: which refused.
        :param fields: of the error; `retry_after_s` is the text of the header, if there is one.
        :param now: monotonic seconds.
        """
        try:
            seconds = float(str(fields.get('retry_after_s')))
        except ValueError:
            return  # no pause, or a date: it is retried like any refusal
        if math.isfinite(seconds) and seconds > 0:
            self.begin(backend, seconds, now)

    def left_s(self, backend: Backend, now: float) -> float:
        """Returns the seconds that are left of a pause.

        :param backend: the backend server, as it announced itself last.
        :param now: monotonic seconds.
        """
        incarnation, until = self._until_by_instance.get(backend.instance, (0, now))
        return 0 if backend.incarnation > incarnation else max(0, until - now)
