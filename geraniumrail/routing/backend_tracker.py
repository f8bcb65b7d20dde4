"""This entry's view of the backend servers."""

import dataclasses
import math
from collections.abc import Iterator, Sequence

from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.routing.backend_view import MIN_TOKENS_PER_S, REPORT_LIFE_S, SILENT_S, BackendView
from geraniumrail.routing.estimate import Estimate
from geraniumrail.routing.hints import PrefixHints

PREFILL_TOKENS_PER_S = 8000.0
# Between two reports the other entries see the same idle engine. Counting an own send three times
# was better than once with both 4 and 40 entries.
ECHO = 3.0
_MEAN_STEP = 0.05

# A prompt too short to show the rate of reading.
LEAST_SAMPLE_TOKENS = 1000
# The fastest sample counts, and fades by this factor with each further one.
FORGETTING = 0.998
MOST_TOKENS_PER_S = 500_000.0


class BackendTracker:
    """Load, prefix hints and recent failures for each backend server."""

    def __init__(
        self,
        prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S,
        echo: float = ECHO,
    ) -> None:
        """Starts without knowledge.

        :param prefill_tokens_per_s: speed at which engines read prompts.
        :param echo: how many requests one own send stands for; above 1 it anticipates that other
            entries see the same report and choose the same backend server.
        """
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.echo = echo
        self.hints = PrefixHints()
        self._views_by_id: dict[str, BackendView] = {}
        self._mean_occupancy: float = 0
        self._mean_tokens: float = 0
        self._pending_prompt_tokens: dict[str, float] = {}

    def observe(self, backend: Backend, now: float) -> None:
        """Takes in an announcement, ignoring one older than the last (by `sequence`).

        :param backend: announcement, direct or relayed.
        :param now: monotonic seconds.
        """
        view = self._view(backend.instance)
        known = view.backend
        if known is not None and (known.address != backend.address or view.expired(now)):
            # A restarted backend server counts its announcements and cache events from the start.
            self.remove(backend.instance)
            view = self._view(backend.instance)
        elif known is not None and backend.sequence and backend.freshness <= known.freshness:
            return
        view.backend = backend
        view.arrived_at = now
        view.silent_until = now
        self.hints.observe(backend.instance, backend.cache_events, now)
        if backend.load_known:
            self.observe_load(backend.instance, backend.load, now)
        else:
            # Expected to have the mean load until it answers a request of this entry.
            view.report = dataclasses.replace(view.report, slots=backend.load.slots)

    def observe_load(self, backend_id: str, report: LoadReport, now: float) -> None:
        """Takes in a load report that came with an answer.

        :param backend_id: instance.
        :param report: load.
        :param now: monotonic seconds.
        """
        self._view(backend_id).report_load(report, now)
        requests = report.running + report.queued
        self._mean_occupancy += _MEAN_STEP * (
            requests / max(1, report.slots) - self._mean_occupancy
        )
        if requests:
            self._mean_tokens += _MEAN_STEP * (report.queued_tokens / requests - self._mean_tokens)

    def record_sent(
        self, backend_id: str, tokens: float, prefix: Sequence[str], now: float
    ) -> None:
        """Notes that this entry sent a request.

        :param backend_id: instance.
        :param tokens: prompt and expected answer tokens.
        :param prefix: digests of the prompt, which is probably cached from now on.
        :param now: monotonic seconds.
        """
        self._view(backend_id).change(1, tokens, now)
        self.hints.sent(backend_id, prefix, now)

    def add_pending_prompt_tokens(self, backend_id: str, tokens: float) -> None:
        """Notes prompt tokens that an engine has yet to read, or has read if negative.

        Prompts are read one after the other, so they delay the first token of the next request
        long before the slots of the engine are taken.

        :param backend_id: instance.
        :param tokens: expected prompt tokens without a cached part.
        """
        pending = self._pending_prompt_tokens.get(backend_id, 0) + tokens
        self._pending_prompt_tokens[backend_id] = max(0, pending)

    def pending_prompt_tokens(self, backend_id: str) -> float:
        """Returns the prompt tokens that this entry has sent and an engine has yet to read.

        :param backend_id: instance.
        """
        return self._pending_prompt_tokens.get(backend_id, 0)

    def observe_prefill(self, tokens: float, seconds: float) -> None:
        """Learns how fast engines read prompts; waits make most samples too slow.

        :param tokens: prompt tokens that were read.
        :param seconds: from sending the request to the first token.
        """
        if tokens >= LEAST_SAMPLE_TOKENS and seconds > 0:
            kept = self.prefill_tokens_per_s * FORGETTING
            self.prefill_tokens_per_s = max(kept, min(MOST_TOKENS_PER_S, tokens / seconds))

    def record_finished(self, backend_id: str, tokens: float, now: float) -> None:
        """Notes that a request sent by this entry ended.

        :param backend_id: instance.
        :param tokens: the same number as given to `sent`.
        :param now: monotonic seconds.
        """
        self._view(backend_id).change(-1, -tokens, now)

    def record_failure(self, backend_id: str, now: float) -> None:
        """Notes a failed connection or a stall.

        :param backend_id: instance.
        :param now: monotonic seconds.
        """
        self._view(backend_id).fail(now)

    def mark_unresponsive(self, backend_id: str, now: float) -> None:
        """Notes that nothing answers there; holds until the next announcement or `SILENT_S`.

        :param backend_id: instance.
        :param now: monotonic seconds.
        """
        self._view(backend_id).silent_until = now + SILENT_S

    def is_unresponsive(self, backend_id: str, now: float) -> bool:
        """Tells whether the backend server is to be avoided while others are usable.

        :param backend_id: instance.
        :param now: monotonic seconds.
        """
        view = self._views_by_id.get(backend_id)
        return view is not None and now < view.silent_until

    def remove(self, backend_id: str) -> None:
        """Drops everything about a backend server.

        :param backend_id: instance.
        """
        self._views_by_id.pop(backend_id, None)
        self._pending_prompt_tokens.pop(backend_id, None)
        self.hints.forget(backend_id)

    def is_usable(self, backend: Backend, now: float) -> bool:
        """Tells whether new work may go to the backend server: serving, and its lease runs.

        :param backend: the record that the caller holds, which may be older than the last seen.
        :param now: monotonic seconds.
        """
        view = self._views_by_id.get(backend.instance)
        if backend.state != 'serving':
            return False
        if view is None or view.backend is None:
            return True
        return view.backend.state == 'serving' and not view.expired(now)

    def estimate(self, backend: Backend, now: float) -> Estimate:
        """Returns the load expected now.

        :param backend: candidate; one that was never observed is taken to have the mean load.
        :param now: monotonic seconds.
        """
        view = self._views_by_id.get(backend.instance)
        if view is None:
            slots = backend.load.slots
            mean = self._mean_occupancy * slots
            return Estimate(mean, slots, mean * self._mean_tokens, MIN_TOKENS_PER_S, 0, 0)
        report = view.report
        trust = math.exp(min(0, view.measured_at - now) / REPORT_LIFE_S)
        reported = report.running + report.queued
        mean = (1 - trust) * self._mean_occupancy * report.slots
        own_requests, own_tokens = view.own_load(now)
        return Estimate(
            requests=max(0, trust * reported + mean + self.echo * own_requests),
            slots=report.slots,
            backlog_tokens=max(
                0,
                trust * report.queued_tokens + mean * self._mean_tokens + self.echo * own_tokens,
            ),
            tokens_per_s=max(view.best_tokens_per_s, MIN_TOKENS_PER_S),
            kv_used=report.kv_used,
            penalty_s=view.penalty_s(now),
        )

    def report_of(self, backend: Backend) -> LoadReport:
        """Returns the last report as it came, without decay.

        :param backend: candidate.
        """
        view = self._views_by_id.get(backend.instance)
        return backend.load if view is None else view.report

    def backends(self) -> Iterator[Backend]:
        """Lists the last announcement of each observed backend server."""
        return (view.backend for view in self._views_by_id.values() if view.backend is not None)

    def _view(self, backend_id: str) -> BackendView:
        view = self._views_by_id.get(backend_id)
        if view is None:
            view = BackendView()
            self._views_by_id[backend_id] = view
        return view
