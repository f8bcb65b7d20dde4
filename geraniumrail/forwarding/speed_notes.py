"""What the answers to one request tell of the speed of the backend servers."""

from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.forwarding.dialect import Head
from geraniumrail.forwarding.parts import Parts
from geraniumrail.routing.prefill_rate import MIN_SAMPLE_TOKENS

# The mean pause of a shorter stream says little about the speed of its backend server.
MIN_PAUSES = 8


class SpeedNotes:
    """Learns only from answers that tell a load: without it, a queue would pass for slowness."""

    def __init__(self, parts: Parts, route: str) -> None:
        """Starts before the first attempt.

        :param parts: of the entry.
        :param route: name of the route.
        """
        self._parts = parts
        self._route = route
        self._load: LoadReport | None = None
        self._ahead: float = 0  # prompt tokens of this entry that are read before the present one's

    def sent(self, backend: Backend) -> None:
        """Notes that an attempt is made; called before its own tokens are counted.

        :param backend: where it is sent.
        """
        self._load = None
        self._ahead = self._parts.view.knowledge.pending_prompt_tokens(backend.instance)

    def head(self, head: Head) -> None:
        """Takes the head of an answer.

        :param head: its fields.
        """
        # A cold server is slow for another reason, and only for some seconds.
        self._load = None if head.cold_s else head.load

    def plain(self, backend: Backend, seconds: float) -> None:
        """Learns from a whole answer.

        :param backend: where it comes from.
        :param seconds: since the attempt was sent.
        """
        if self._load is None:
            return
        speeds, now = self._parts.view.knowledge.speeds, self._parts.clock.now()
        work_s = seconds / self._queue(self._load)
        slowness = speeds.slowness(backend.instance, now)
        speeds.observe_plain(backend.service, work_s / slowness)
        self._learn(backend, self._route, work_s)

    def reading(self, backend: Backend, tokens: float, seconds: float) -> None:
        """Learns from the first event of a stream.

        :param backend: where it comes from.
        :param tokens: of the prompt that had to be read.
        :param seconds: since the attempt was sent.
        """
        knowledge, now = self._parts.view.knowledge, self._parts.clock.now()
        slowness = knowledge.speeds.slowness(backend.instance, now)
        # In tokens that an engine of the usual speed reads in the same time.
        knowledge.prefill_rate.observe(tokens * slowness, seconds)
        if tokens >= MIN_SAMPLE_TOKENS and self._load is not None:
            per_token_s = seconds / self._queue(self._load) / (tokens + self._ahead)
            self._learn(backend, 'read', per_token_s)

    def pauses(self, backend: Backend, count: int, seconds: float) -> None:
        """Learns from a whole stream.

        :param backend: where it comes from.
        :param count: pauses between its events.
        :param seconds: from the first event to the last.
        """
        if count >= MIN_PAUSES:
            self._learn(backend, 'pause', seconds / count)

    def _queue(self, load: LoadReport) -> float:
        """Returns the time in the queue and at work, as a multiple of the work."""
        return 1 + load.queued / max(1, load.slots)

    def _learn(self, backend: Backend, kind: str, seconds: float) -> None:
        if self._load is not None:
            self._parts.view.knowledge.speeds.observe_work(
                backend.instance,
                f'{backend.service} {kind}',
                seconds,
                self._load.work_factor,
                self._parts.clock.now(),
            )
