"""What one request teaches routing, version moves, usage and the log."""

from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.forwarding import events
from geraniumrail.forwarding.admitted import Admitted
from geraniumrail.forwarding.attempt import Attempt
from geraniumrail.forwarding.inbound import Inbound
from geraniumrail.forwarding.parts import Parts
from geraniumrail.forwarding.speed_notes import SpeedNotes
from geraniumrail.quarantine.part_watch import PROOF_S

UNAVAILABLE = 503


class RunNotes:
    """Bookkeeping of one request; nothing here decides what becomes of it."""

    def __init__(self, inbound: Inbound, admitted: Admitted, parts: Parts) -> None:
        """Starts before the first attempt.

        :param inbound: the caller's request.
        :param admitted: how it is forwarded.
        :param parts: of the entry.
        """
        self.first_s: float | None = None  # from sending to the first event, or to the answer
        self.is_proved = False  # the backend server has survived the present attempt
        self._inbound = inbound
        self._admitted = admitted
        self._parts = parts
        self._is_counted = False
        self._unread: float = 0  # prompt tokens that the chosen backend server has yet to read
        self._read_tokens: float = 0  # the same, also once they were read
        self._first_event_at: float | None = None  # of the present attempt
        self._is_cold = False  # the backend server, when the present attempt was sent
        self._cached: float | None = None  # prompt tokens, as routing expects
        self._speed = SpeedNotes(parts, admitted.route.name)

    def sent(self, backend: Backend, attempt: str) -> None:
        """Notes that an attempt is made.

        :param backend: where it is sent.
        :param attempt: its name.
        """
        inbound, now = self._inbound, self._parts.clock.now()
        knowledge = self._parts.view.knowledge
        prompt_tokens = inbound.prompt_tokens or 0
        self._unread = max(0, prompt_tokens - self._expected_cached(backend, now))
        self._read_tokens = self._unread
        self._first_event_at = None
        self._speed.sent(backend)
        self.is_proved = False
        self._is_cold = knowledge.cold.is_cold(backend, now)
        knowledge.add_pending_prompt_tokens(backend.instance, self._unread)
        knowledge.record_sent(backend.instance, inbound.tokens or 1, inbound.prefixes, now)
        self._parts.outcomes.breaker.start_wait(
            attempt, self._admitted.service, backend.version, self._admitted.route.name, now
        )

    def expect_cached(self, tokens: float | None) -> None:
        """Notes what routing expects the chosen engine to have cached.

        :param tokens: of the prompt; None: not known.
        """
        self._cached = tokens

    def ended(self, backend: Backend, attempt: str) -> None:
        """Notes that an attempt has ended, however it did.

        :param backend: where it was sent.
        :param attempt: its name.
        """
        self._read(backend)
        self._count_work(backend)
        knowledge = self._parts.view.knowledge
        knowledge.record_finished(
            backend.instance, self._inbound.tokens or 1, self._parts.clock.now()
        )
        self._parts.outcomes.breaker.end_wait(
            attempt, self._admitted.service, self._admitted.route.name
        )

    def head(self, attempt: Attempt) -> None:
        """Takes what an answer says of its backend server.

        :param attempt: the attempt.
        """
        now = self._parts.clock.now()
        knowledge = self._parts.view.knowledge
        if attempt.head.load is not None:
            knowledge.observe_load(attempt.backend.instance, attempt.head.load, now)
            self._parts.places.observe(
                self._admitted.service, attempt.backend.instance, attempt.head.load
            )
        self._speed.head(attempt.head)
        pause_s = attempt.head.retry_after_s
        if attempt.status == UNAVAILABLE and pause_s is not None and pause_s > 0:
            knowledge.pauses.begin(attempt.backend, pause_s, now)
        if attempt.head.leaving:
            knowledge.mark_leaving(attempt.backend)
        knowledge.limits.named(attempt.backend, attempt.head.limit_per_s, now)
        knowledge.cold.answered(attempt.backend, attempt.head.cold_s, now)

    def first_event(self, backend: Backend, sent_at: float) -> None:
        """Notes the first event of a stream, once.

        :param backend: where it comes from.
        :param sent_at: when the attempt was sent.
        """
        now = self._parts.clock.now()
        if self._first_event_at is None:
            self._first_event_at = now
        if self.first_s is None:
            self.first_s = now - sent_at
            self._speed.reading(backend, self._unread, self.first_s)
            self._record_first(self.first_s)
            self.began(now)
            self.observe(backend, failed=None, first_s=self.first_s)
        if now - self._first_event_at >= PROOF_S:
            self._prove(backend, self._first_event_at)
        self._read(backend)

    def ended_whole(self, backend: Backend, pauses: int = 0) -> None:
        """Notes the end of a whole stream.

        :param backend: where it came from.
        :param pauses: between the events of the present attempt.
        """
        if self._first_event_at is not None:
            self._prove(backend, self._first_event_at)
            seconds = self._parts.clock.now() - self._first_event_at
            self._speed.pauses(backend, pauses, seconds)
        self.observe(backend, failed=False)

    def answered(self, attempt: Attempt, sent_at: float, *, failed: bool) -> None:
        """Notes a whole answer.

        :param attempt: the attempt.
        :param sent_at: when it was sent.
        :param failed: whether the backend server failed.
        """
        self.began(sent_at)
        self.first_s = self._parts.clock.now() - sent_at
        if not failed:
            self._prove(attempt.backend, sent_at)
            self._parts.places.answered(
                self._admitted.service, attempt.backend.instance, self.first_s
            )
            if attempt.is_success:
                self._speed.plain(attempt.backend, self.first_s)
        self._record_first(self.first_s)
        self.observe(attempt.backend, failed=failed, first_s=self.first_s)

    def began(self, at: float) -> None:
        """Counts the request as begun, once, in the usage window of a moment.

        :param at: when a backend server began to work on it, seconds of this process's clock.
        """
        if self._is_counted:
            return
        self._is_counted = True
        view = self._parts.view
        wall = view.true_wall() + at - self._parts.clock.now()
        self._parts.usage.started(self._admitted.organisation, wall, view.window_s)

    def observe(
        self, backend: Backend, *, failed: bool | None, first_s: float | None = None
    ) -> None:
        """Counts an outcome for the version of a backend server.

        :param backend: the backend server.
        :param failed: None while the request has not ended.
        :param first_s: time to the first event, if it is known now.
        """
        self._parts.outcomes.observe(
            self._admitted.service,
            backend.version,
            self._admitted.route.name,
            self._admitted.organisation,
            failed,
            first_s,
        )

    def lost(self, backend: Backend) -> None:
        """Counts a failure, unless the backend server had announced that it leaves.

        :param backend: the backend server.
        """
        if not self.is_leaving(backend):
            self.observe(backend, failed=True)

    def disconnected(self, backend: Backend) -> None:
        """Notes a connection that was lost, which may be the end of the backend server.

        :param backend: the backend server.
        """
        if not self.is_proved and not self.is_leaving(backend):
            self._parts.watch.record_loss(backend, self._admitted.traits)

    def is_leaving(self, backend: Backend) -> bool:
        """Returns whether a backend server has left or said that it leaves.

        :param backend: the backend server.
        """
        known = self._parts.view.backends_by_instance.get(backend.instance)
        if known is None or known.state == 'leaving':
            return True
        return self._parts.view.knowledge.is_leaving(backend)

    def log_end(self, attempt: Attempt, attempts: int, streamed: int) -> None:
        """Writes the line of a request that was answered by a backend server.

        :param attempt: the last attempt.
        :param attempts: how many were made.
        :param streamed: events of the stream.
        """
        log(
            events.FORWARDED,
            request=self._inbound.request_id,
            route=self._admitted.route.name,
            organisation=self._admitted.organisation,
            backend=attempt.backend.instance,
            version=attempt.backend.version,
            config=self._parts.view.table.version,
            status=attempt.status,
            attempts=attempts,
            tokens=self._inbound.tokens,
            events=streamed,
            first_s=None if self.first_s is None else round(self.first_s, 4),
            total_s=round(self._parts.clock.now() - self._inbound.arrived_at, 4),
        )

    def _prove(self, backend: Backend, began_at: float) -> None:
        if not self.is_proved:
            self.is_proved = True
            self._parts.watch.record_answer(backend.service, self._admitted.traits, began_at)

    def _expected_cached(self, backend: Backend, now: float) -> float:
        """Returns the cached prompt tokens; counts them if the memory of engines is known."""
        inbound, knowledge = self._inbound, self._parts.view.knowledge
        value = knowledge.prefix_values.get(backend.service)
        if value is None or self._cached is None or not inbound.prompt_tokens:
            cached, worth = knowledge.hints.cached_prefix(backend.instance, inbound.prefixes, now)
            return sum(part.tokens for part in inbound.parts[:cached]) * worth
        value.sent(inbound.prompt_tokens, self._cached, inbound.output_tokens, now)
        self._parts.recorder.prompt_sent(backend.service, inbound.prompt_tokens, self._cached)
        return self._cached

    def _record_first(self, seconds: float) -> None:
        recorder = self._parts.recorder
        recorder.first_event(self._admitted.service, self._admitted.route.name, seconds)

    def _count_work(self, backend: Backend) -> None:
        """Counts the engine time of an attempt: its reading, then its slot of the batch."""
        tokens = self._inbound.tokens
        # A cold server would lower the throughput that is learned for its service.
        if self._first_event_at is None or not tokens or self._is_cold:
            return
        generating_s = self._parts.clock.now() - self._first_event_at
        slots = max(1, self._parts.view.knowledge.last_report(backend).slots)
        # Reading takes a slow engine longer than the reported rate, which is of a usual one, tells.
        speed = self._parts.view.knowledge.speeds.speed(backend.instance, self._parts.clock.now())
        self._parts.demand.worked(
            self._admitted.service, tokens, self._read_tokens / speed, generating_s / slots
        )

    def _read(self, backend: Backend) -> None:
        """The prompt was read, or never will be."""
        self._parts.view.knowledge.add_pending_prompt_tokens(backend.instance, -self._unread)
        self._unread = 0
