"""Load and cached prefixes of the backend servers as this entry sees them."""

import collections
import dataclasses
import math
from collections.abc import Iterable, Iterator, Sequence

from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.core.load_report import LoadReport
from geraniumrail.routing import events
from geraniumrail.routing.backend_view import (
    MIN_TOKENS_PER_S,
    REPORT_DECAY_S,
    UNRESPONSIVE_S,
    BackendView,
)
from geraniumrail.routing.cold_backends import ColdBackends
from geraniumrail.routing.engine_limits import EngineLimits
from geraniumrail.routing.engine_pauses import EnginePauses
from geraniumrail.routing.estimate import Estimate
from geraniumrail.routing.prefill_rate import INITIAL_TOKENS_PER_S, PrefillRate
from geraniumrail.routing.prefix_hints import PrefixHints
from geraniumrail.routing.prefix_value import PrefixValue
from geraniumrail.routing.server_speed import ServerSpeeds

# Until the next report the other entries choose the same idle engine, so each own request counts
# three times; counting it once is worse with both 4 and 40 entries.
OWN_SEND_WEIGHT = 3.0
MAX_LEAVING = 1024  # backend servers that are remembered; their processes end within a minute
_MEAN_SMOOTHING = 0.05  # weight of a report in the moving averages


class BackendTracker:
    """Load, prefix hints and recent failures for each backend server."""

    def __init__(
        self,
        prefill_tokens_per_s: float = INITIAL_TOKENS_PER_S,
        own_send_weight: float = OWN_SEND_WEIGHT,
    ) -> None:
        """Starts without backend servers.

        :param prefill_tokens_per_s: initial prefill rate of the engines.
        :param own_send_weight: requests counted for each one that this entry sends; above 1 because
            other entries see the same report and choose the same backend server.
        """
        self.prefill_rate = PrefillRate(prefill_tokens_per_s)
        self.own_send_weight = own_send_weight
        self.hints = PrefixHints()
        self.limits = EngineLimits()
        self.cold = ColdBackends()
        self.pauses = EnginePauses()
        self.speeds = ServerSpeeds()
        self.prefix_values: dict[str, PrefixValue] = collections.defaultdict(PrefixValue)
        self._leaving_by_instance: dict[str, int] = {}  # incarnation that said so
        self._views_by_id: dict[str, BackendView] = {}
        self.mean_occupancy: float = 0  # requests per slot of a backend server
        self._mean_tokens: float = 0
        self._pending_prompt_tokens: dict[str, float] = {}

    def observe(self, backend: Backend, now: float) -> None:
        """Stores an announcement if it is newer than the last one (by `freshness`).

        :param backend: announcement, received directly or relayed.
        :param now: monotonic seconds.
        """
        view = self._view(backend.instance)
        known = view.backend
        if known is not None and (known.address != backend.address or view.lease_expired(now)):
            # A restarted backend server numbers its announcements and cache events from 1 again.
            self.remove(backend.instance)
            view = self._view(backend.instance)
        elif known is not None and backend.sequence and backend.freshness <= known.freshness:
            return
        view.backend = backend
        view.arrived_at = now
        view.unresponsive_until = now
        self.hints.observe(backend.instance, backend.cache_events, now)
        if backend.load_known:
            self.observe_load(backend.instance, backend.load, now)
        else:
            # Estimated at the mean load until it answers a request of this entry.
            view.report = dataclasses.replace(view.report, slots=backend.load.slots)

    def observe_load(self, backend_id: str, report: LoadReport, now: float) -> None:
        """Stores a load report from an announcement or an answer.

        :param backend_id: instance.
        :param report: load.
        :param now: monotonic seconds.
        """
        self._view(backend_id).observe_report(report, now)
        self.speeds.observe_factor(backend_id, report.work_factor, now - report.age_s)
        requests = report.running + report.queued
        self.mean_occupancy += _MEAN_SMOOTHING * (
            requests / max(1, report.slots) - self.mean_occupancy
        )
        if requests:
            self._mean_tokens += _MEAN_SMOOTHING * (
                report.queued_tokens / requests - self._mean_tokens
            )

    def record_sent(
        self, backend_id: str, tokens: float, prefixes: Sequence[str], now: float
    ) -> None:
        """Records that this entry sent a request.

        :param backend_id: instance.
        :param tokens: prompt and expected answer tokens.
        :param prefixes: digests of the prompt, which is probably cached from now on.
        :param now: monotonic seconds.
        """
        self._view(backend_id).record_change(1, tokens, now)
        self.limits.take(backend_id, now)
        self.cold.take(backend_id, now)
        self.hints.record_sent(backend_id, prefixes, now)

    def add_pending_prompt_tokens(self, backend_id: str, tokens: float) -> None:
        """Adds prompt tokens that wait for prefill, or subtracts processed ones if negative.

        Engines process prompts one after the other, so waiting prompts delay the first token of
        the next request long before all slots of the engine are in use.

        :param backend_id: instance.
        :param tokens: prompt tokens that are probably not cached.
        """
        pending = self._pending_prompt_tokens.get(backend_id, 0) + tokens
        self._pending_prompt_tokens[backend_id] = max(0, pending)

    def pending_prompt_tokens(self, backend_id: str) -> float:
        """Returns the prompt tokens from this entry that wait for prefill.

        :param backend_id: instance.
        """
        return self._pending_prompt_tokens.get(backend_id, 0)

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prompt tokens that an engine reads in a second."""
        return self.prefill_rate.tokens_per_s

    def record_finished(self, backend_id: str, tokens: float, now: float) -> None:
        """Records that a request sent by this entry has ended.

        :param backend_id: instance.
        :param tokens: the same number as for `record_sent`.
        :param now: monotonic seconds.
        """
        self._view(backend_id).record_change(-1, -tokens, now)

    def record_failure(self, backend_id: str, now: float) -> None:
        """Records a failed connection or a stall.

        :param backend_id: instance.
        :param now: monotonic seconds.
        """
        self._view(backend_id).record_failure(now)

    def mark_unresponsive(self, backend_id: str, now: float) -> None:
        """Records that nothing answers, until the next announcement or for `UNRESPONSIVE_S`.

        :param backend_id: instance.
        :param now: monotonic seconds.
        """
        self._view(backend_id).unresponsive_until = now + UNRESPONSIVE_S

    def is_unresponsive(self, backend_id: str, now: float) -> bool:
        """Returns whether the backend server is to be avoided if others are usable.

        :param backend_id: instance.
        :param now: monotonic seconds.
        """
        view = self._views_by_id.get(backend_id)
        return view is not None and now < view.unresponsive_until

    def mark_leaving(self, backend: Backend) -> None:
        """Records that a backend server said in an answer that it leaves.

        Its announcements may say so later, or never.

        :param backend: the backend server.
        """
        if not self.is_leaving(backend):
            log(events.LEAVING_NAMED, backend=backend.instance, service=backend.service)
            self._leaving_by_instance[backend.instance] = backend.incarnation
        while len(self._leaving_by_instance) > MAX_LEAVING:
            self._leaving_by_instance.pop(next(iter(self._leaving_by_instance)))

    def is_leaving(self, backend: Backend) -> bool:
        """Returns whether a backend server has said in an answer that it leaves.

        :param backend: the backend server; a later incarnation has said nothing.
        """
        said = self._leaving_by_instance.get(backend.instance)
        return said is not None and backend.incarnation <= said

    def remove(self, backend_id: str) -> None:
        """Removes all data of a backend server.

        :param backend_id: instance.
        """
        self._views_by_id.pop(backend_id, None)
        self._pending_prompt_tokens.pop(backend_id, None)
        self.speeds.remove(backend_id)
        self.hints.remove(backend_id)

    def is_usable(self, backend: Backend, now: float) -> bool:
        """Returns whether the backend server is serving and takes a request from this entry now.

        :param backend: an announcement, which may be older than the last one.
        :param now: monotonic seconds.
        """
        view = self._views_by_id.get(backend.instance)
        is_open = self.limits.is_open(backend.instance, now) and not self.pauses.left_s(
            backend, now
        )
        if backend.state != 'serving' or not is_open or self.is_leaving(backend):
            return False
        if not self.cold.is_open(backend, now):
            return False
        if view is None or view.backend is None:
            return True
        return view.backend.state == 'serving' and not view.lease_expired(now)

    def estimate(self, backend: Backend, now: float) -> Estimate:
        """Returns the expected present load.

        :param backend: candidate; one without an announcement is estimated at the mean load.
        :param now: monotonic seconds.
        """
        view = self._views_by_id.get(backend.instance)
        if view is None:
            slots = backend.load.slots
            mean = self.mean_occupancy * slots
            return Estimate(mean, slots, mean * self._mean_tokens, MIN_TOKENS_PER_S, 0, 0)
        report = view.report
        report_weight = math.exp(min(0, view.measured_at - now) / REPORT_DECAY_S)
        reported = report.running + report.queued
        mean = (1 - report_weight) * self.mean_occupancy * report.slots
        own_requests, own_tokens = view.own_load(now)
        return Estimate(
            requests=max(0, report_weight * reported + mean + self.own_send_weight * own_requests),
            slots=report.slots,
            backlog_tokens=max(
                0,
                report_weight * report.queued_tokens
                + mean * self._mean_tokens
                + self.own_send_weight * own_tokens,
            ),
            tokens_per_s=max(view.best_tokens_per_s, MIN_TOKENS_PER_S),
            kv_used=report.kv_used,
            penalty_s=view.penalty_s(now),
            slowness=self.speeds.slowness(backend.instance, now),
            work_s=self.speeds.work_s(backend.service),
        )

    def opens_in_s(self, backends: Iterable[Backend], now: float) -> float:
        """Returns the seconds until one of some backend servers takes a request from this entry.

        :param backends: those that may be chosen.
        :param now: monotonic seconds.
        """
        return min(
            (
                max(
                    self.limits.opens_in_s(each.instance, now),
                    self.pauses.left_s(each, now),
                    self.cold.opens_in_s(each, now),
                )
                for each in backends
                if each.state == 'serving'
            ),
            default=0,
        )

    def last_report(self, backend: Backend) -> LoadReport:
        """Returns the last report, not weighted by its age.

        :param backend: candidate.
        """
        view = self._views_by_id.get(backend.instance)
        return backend.load if view is None else view.report

    def backends(self) -> Iterator[Backend]:
        """Returns the last announcement of each backend server."""
        return (view.backend for view in self._views_by_id.values() if view.backend is not None)

    def _view(self, backend_id: str) -> BackendView:
        view = self._views_by_id.get(backend_id)
        if view is None:
            view = BackendView()
            self._views_by_id[backend_id] = view
        return view
