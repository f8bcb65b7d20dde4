"""Decides how many backend servers to order; soft state of the control leader."""

import collections
import math

from geraniumrail.control import events
from geraniumrail.control.control import Control
from geraniumrail.control.duty_call import DutyAnswer, FleetOrder
from geraniumrail.control.fleet_demand import FleetDemand
from geraniumrail.core.events import log
from geraniumrail.deployment.service import Scaling, ServiceSpec
from geraniumrail.links.messages import EntryReport
from geraniumrail.placement.fleet_plan import FleetBounds, FleetKey, fleet_plan, stopgap

DECIDE_INTERVAL_S = 0.5
# After a change of leader the backend servers announce themselves anew; before this time the
# registry may lack some, and an order by what it holds would stop them.
SETTLE_S = 3.0
# An order that was refused because nothing is to be had is made again after this time.
REFUSED_RETRY_S = 2.0
UNKNOWN_RETRY_S = 1.0
# Backend servers that were ordered and do not serve after their start time and this: order again.
MISSING_MARGIN_S = 3.0
# What one engine answers within the latency target, in prompt and output tokens that the requests
# name, cached ones included (docs/MEASUREMENTS.md, "Engines ordered").
TOKENS_PER_ENGINE_S = 18_000.0
# Until demand is known: this multiple of what the engines that are there can answer.
UNKNOWN_DEMAND = 1.6
ON_DEMAND_SHARE = 0.0

_Subject = tuple[str, str, bool]


class Fleet:
    """Orders on-demand and reclaimable backend servers by data centre.

    On-demand ones stand in while too few reclaimable ones serve.
    """

    def __init__(self, control: Control) -> None:
        """Connects the control role.

        :param control: the control role of this process.
        """
        self._control = control
        self._demand = FleetDemand()
        self.became_leader()
        control.publisher.sinks.append(self)

    def became_leader(self) -> None:
        """Orders everything again: an earlier leader's orders may have been lost."""
        self._since = self._control.now()
        self._ordered: dict[_Subject, tuple[int, float]] = {}
        self._retry_at: dict[_Subject, float] = {}
        self._first_by_service: dict[str, int] = {}
        self._planned: dict[str, dict[FleetKey, int]] = {}
        self._planned_for: dict[str, float] = {}
        self._decided_at = -math.inf
        self._demand = FleetDemand()

    def observe(self, report: EntryReport, now: float) -> None:
        """Takes the demand of one entry.

        :param report: the entry's report.
        :param now: monotonic seconds.
        """
        self._demand.observe(report.demand, now)

    def due_orders(self) -> list[FleetOrder]:
        """Returns the orders to make now."""
        now = self._control.now()
        if now - self._decided_at < DECIDE_INTERVAL_S or now - self._since < SETTLE_S:
            return []
        self._decided_at = now
        deployment = self._control.machine.tables.deployment
        wanted = [
            order
            for service in deployment.services
            if service.scaling is not None
            for order in self._wanted(service, service.scaling, now)
        ]
        return [order for order in wanted if self._is_due(order, now)]

    def answered(self, order: FleetOrder, answer: DutyAnswer) -> None:
        """Notes what became of an order.

        :param order: the order.
        :param answer: of the API.
        """
        now = self._control.now()
        subject = (order.service, order.data_centre, order.reclaimable)
        if answer is DutyAnswer.accepted:
            self._ordered[subject] = (order.count, now)
            return
        delay_s = REFUSED_RETRY_S if answer is DutyAnswer.conflict else UNKNOWN_RETRY_S
        self._retry_at[subject] = now + delay_s

    def _is_due(self, order: FleetOrder, now: float) -> bool:
        subject = (order.service, order.data_centre, order.reclaimable)
        count, _ = self._ordered.get(subject, (None, 0))
        return count != order.count and now >= self._retry_at.get(subject, -math.inf)

    def _wanted(self, service: ServiceSpec, scaling: Scaling, now: float) -> list[FleetOrder]:
        serving = self._serving(service.name)
        planned = self._plan(service.name, scaling, serving, now)
        self._forget_missing(service.name, scaling, serving, now)
        needed = math.ceil(self._planned_for[service.name] / TOKENS_PER_ENGINE_S)
        fixed = stopgap(serving, needed, scaling.most, scaling.price_by_data_centre)
        orders = (
            FleetOrder(service.name, data_centre, max(count, fixed[data_centre]), kind)
            if not kind
            else FleetOrder(service.name, data_centre, count, kind)
            for (data_centre, kind), count in planned.items()
        )
        # Reclaimable ones first, since they need the time to start.
        return sorted(orders, key=lambda order: not order.reclaimable)

    def _plan(
        self,
        service: str,
        scaling: Scaling,
        serving: collections.Counter[FleetKey],
        now: float,
    ) -> dict[FleetKey, int]:
        first = self._first_by_service.setdefault(service, serving.total())
        floor = first * TOKENS_PER_ENGINE_S * UNKNOWN_DEMAND
        known = self._demand.tokens_per_s(service, now)
        tokens_per_s = floor if known is None else known
        planned_for = self._planned_for.get(service)
        if planned_for is not None and planned_for * 0.7 <= tokens_per_s <= planned_for:
            return self._planned[service]
        fleet = fleet_plan(
            service,
            tokens_per_s,
            TOKENS_PER_ENGINE_S,
            ON_DEMAND_SHARE,
            FleetBounds(
                least=scaling.least,
                most=scaling.most,
                reclaimable_price=scaling.reclaimable_price,
                price_by_data_centre=scaling.price_by_data_centre,
            ),
            now,
        )
        log(
            events.FLEET_PLANNED,
            service=service,
            tokens_per_s=round(tokens_per_s),
            demand_known=known is not None,
            fleet={f'{name}/{"spot" if kind else "fixed"}': n for (name, kind), n in fleet.items()},
        )
        self._planned[service] = fleet
        self._planned_for[service] = tokens_per_s
        return fleet

    def _forget_missing(
        self,
        service: str,
        scaling: Scaling,
        serving: collections.Counter[FleetKey],
        now: float,
    ) -> None:
        """Lets an order be made again whose backend servers have not come or were taken away."""
        for subject, (count, at) in tuple(self._ordered.items()):
            name, data_centre, kind = subject
            overdue = now - at > scaling.boot_s + MISSING_MARGIN_S
            if name == service and overdue and serving[data_centre, kind] < count:
                self._ordered.pop(subject)

    def _serving(self, service: str) -> collections.Counter[FleetKey]:
        known = self._control.publisher.registry.known_by_instance.values()
        return collections.Counter(
            (each.backend.data_centre, each.backend.reclaimable)
            for each in known
            if each.backend.service == service and each.backend.state == 'serving'
        )
