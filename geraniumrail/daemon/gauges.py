"""Refreshes the gauges of a daemon once a second."""

import asyncio
import collections
from typing import TYPE_CHECKING

from geraniumrail.links.wire import TRAFFIC
from geraniumrail.metrics.instruments import Instruments

if TYPE_CHECKING:  # a role that is not configured is not loaded
    from collections.abc import Iterable

    from geraniumrail.backends.answer_budget import AnswerBudget
    from geraniumrail.callers.client_limits import ClientLimits
    from geraniumrail.control.control import Control
    from geraniumrail.core.backend import Backend
    from geraniumrail.entry.entry import Entry
    from geraniumrail.routing.cold_backends import ColdBackends

INTERVAL_S = 1.0


class Gauges:
    """Reads the state of the roles; changes nothing."""

    def __init__(
        self,
        instruments: Instruments,
        entry: 'Entry | None',
        control: 'Control | None',
        clients: 'ClientLimits | None' = None,
    ) -> None:
        """Connects the roles.

        :param instruments: where to record.
        :param entry: the entry role, if it is configured.
        :param control: the control role, if it is configured.
        :param clients: limits of the connections of clients.
        """
        self._clients = clients
        self._refused: collections.Counter[str] = collections.Counter()
        self._instruments = instruments
        self._entry = entry
        self._control = control
        self._sent = 0
        self._received = 0
        self._broken_off: collections.Counter[str] = collections.Counter()
        self._limit_rejections: collections.Counter[tuple[str, str]] = collections.Counter()

    async def run(self) -> None:
        """Refreshes until cancelled."""
        while True:
            self.refresh()
            await asyncio.sleep(INTERVAL_S)

    def refresh(self) -> None:
        """Sets all gauges."""
        self._count_traffic()
        if self._clients is not None:
            self.show_clients(self._clients)
        if self._entry is not None:
            self._show_entry(self._entry)
        if self._control is not None:
            self._show_control(self._control)

    def _count_traffic(self) -> None:
        counter = self._instruments.control_bytes
        counter.add(TRAFFIC.sent - self._sent, 'sent')
        counter.add(TRAFFIC.received - self._received, 'received')
        self._sent = TRAFFIC.sent
        self._received = TRAFFIC.received

    def _show_entry(self, entry: 'Entry') -> None:
        view = entry.view
        backends = view.backends_by_instance.values()
        states = collections.Counter((each.service, each.state) for each in backends)
        self._instruments.backends.replace(states)
        limited = (
            view.backends_by_instance.get(instance) for instance in view.knowledge.limits.limited
        )
        self._instruments.limited_backends.replace(
            collections.Counter((each.service,) for each in limited if each is not None)
        )
        self._instruments.evacuated_backends.replace(
            collections.Counter(
                (each.data_centre,) for each in filter(view.evacuations.hold_back, backends)
            )
        )
        self.show_cold(view.knowledge.cold, backends, entry.forwarder.parts.clock.now())
        places = entry.forwarder.parts.places
        self._instruments.waiting_requests.replace(
            {(service,): waiting for service, waiting in places.waiting_by_service().items()}
        )
        self._instruments.limited_rate.replace(
            {(service,): per_s for service, per_s in places.rates_by_service().items()}
        )
        self._instruments.server_speed.replace(
            view.knowledge.speeds.bounds(backends, entry.forwarder.parts.clock.now()),
        )
        self._instruments.prefix_residence.replace(
            {
                (service,): value.last_residence_s
                for service, value in view.knowledge.prefix_values.items()
            }
        )
        held = entry.forwarder.parts.watch.quarantines
        self._instruments.quarantines.replace(collections.Counter((each.service,) for each in held))
        self._show_held(entry)
        self.count_limit_rejections(entry.forwarder.parts.quota.scarce.rejected)
        self._instruments.settings_revision.set(view.tree.revision)
        self._instruments.lease_left.set(view.lease_left_s())
        if view.answered_at:
            age_s = entry.forwarder.parts.clock.now() - view.answered_at
            self._instruments.view_age.set(age_s)
        self._instruments.queue_depth.replace(
            {(service,): depth for service, depth in entry.queue_depths().items()},
        )

    def _show_held(self, entry: 'Entry') -> None:
        self._instruments.relayed_connections.set(entry.relay.connections)
        self._instruments.held_body_bytes.set(entry.forwarder.bodies.held_bytes)
        self.show_answers(entry.forwarder.parts.connections.budget)

    def show_cold(self, cold: 'ColdBackends', backends: 'Iterable[Backend]', now: float) -> None:
        """Sets the number of cold backend servers.

        :param cold: what the entry knows of them.
        :param backends: all that it knows.
        :param now: monotonic seconds.
        """
        self._instruments.cold_backends.replace(
            collections.Counter((each.service,) for each in backends if cold.is_cold(each, now))
        )

    def show_answers(self, budget: 'AnswerBudget') -> None:
        """Sets what is known of the answers of backend servers.

        :param budget: of the entry.
        """
        self._instruments.held_answer_bytes.set(budget.held_bytes)
        for reason, count in (budget.broken_off - self._broken_off).items():
            self._instruments.answers_broken_off.add(count, reason)
        self._broken_off = budget.broken_off.copy()

    def count_limit_rejections(self, rejected: collections.Counter[tuple[str, str]]) -> None:
        """Adds what was rejected since the last refresh.

        :param rejected: requests by organisation and reason, since the start of the entry.
        """
        for labels, count in (rejected - self._limit_rejections).items():
            self._instruments.limit_rejections.add(count, *labels)
        self._limit_rejections = rejected.copy()

    def show_clients(self, clients: 'ClientLimits') -> None:
        """Sets what is known of the connections of clients.

        :param clients: their limits.
        """
        self._instruments.held_head_bytes.set(clients.heads.held_bytes)
        self._instruments.client_connections.set(len(clients.connections))
        for reason, count in (clients.refused - self._refused).items():
            self._instruments.clients_refused.add(count, reason)
        self._refused = clients.refused.copy()

    def _show_control(self, control: 'Control') -> None:
        status = control.replica.status()
        self._instruments.log_term.set(status.term)
        self._instruments.log_commit.set(status.commit)
        self._instruments.log_bytes.set(status.log_bytes)
        self._instruments.log_lag.replace(
            {(replica,): lag for replica, lag in status.lag_by_id.items()},
        )
