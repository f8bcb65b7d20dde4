"""Decides how many backend servers to order; soft state of the control leader."""

import collections
import dataclasses
import math

from geraniumrail.control import events
from geraniumrail.control.control import Control
from geraniumrail.control.duty_call import DutyAnswer, FleetOrder
from geraniumrail.control.fleet_demand import FleetDemand
from geraniumrail.core.events import log
from geraniumrail.deployment.service import Scaling, ServiceSpec
from geraniumrail.links.messages import EntryReport
from geraniumrail.placement.fleet_plan import FleetBounds, FleetKey, fleet_plan, transition

DECIDE_INTERVAL_S = 0.5
# After a change of leader the backend servers announce themselves anew; before this time the
# registry may lack some, and an order by what it holds would stop them.
SETTLE_S = 2.0
# An order that was refused because nothing is to be had is made again after this time.
REFUSED_RETRY_S = 2.0
UNKNOWN_RETRY_S = 1.0
# A refusal is taken to hold for this time, longer than the pause between orders and their calls.
REFUSAL_LIFE_S = 4.0
# An engine that was ordered serves this long after its start time at the latest.
START_MARGIN_S = 2.0
# An order whose backend servers do not all serve is repeated; the same number starts no more.
REPEAT_S = 2.0
# A plan is made anew when demand falls below this part of what it was made for.
SHRINK_BELOW = 0.7
# What one engine answers within the latency target, in prompt and output tokens that the requests
# name, cached ones included (docs/MEASUREMENTS.md, "Engines ordered").
TOKENS_PER_ENGINE_S = 18_000.0
# The same for engines that stand in on demand, at several times the price: they are ordered only up
# to what keeps most answers within the target (docs/MEASUREMENTS.md, "Engines ordered").
STAND_IN_TOKENS_PER_ENGINE_S = 30_000.0
# Until demand is known: this multiple of what the engines that are there can answer.
UNKNOWN_DEMAND = 1.6
ON_DEMAND_SHARE: float = 0

_Subject = tuple[str, str, bool]


@dataclasses.dataclass(frozen=True)
class _Ordered:
    count: int
    at: float  # when it was ordered last
    since: float  # when this number was ordered first


class FleetPlanner:
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
        control.publisher.report_sinks.append(self)

    def became_leader(self) -> None:
        """Orders everything again: an earlier leader's orders may have been lost."""
        self._since = self._control.now()
        self._ordered: dict[_Subject, _Ordered] = {}
        self._retry_at: dict[_Subject, float] = {}
        self._refused_at: dict[_Subject, float] = {}
        self._had: set[tuple[str, str]] = set()  # data centres with reclaimable ones that served
        self._lost: set[tuple[str, str]] = set()  # of these, without one since, and none ordered
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
        return [
            order
            for service in deployment.services
            if service.scaling is not None
            for order in self._due(service, service.scaling, now)
        ]

    def record_answer(self, order: FleetOrder, answer: DutyAnswer) -> None:
        """Notes what became of an order.

        :param order: the order.
        :param answer: of the API.
        """
        now = self._control.now()
        subject = (order.service, order.data_centre, order.reclaimable)
        if answer is DutyAnswer.accepted:
            known = self._ordered.get(subject)
            repeats = known is not None and known.count == order.count
            since = known.since if known is not None and repeats else now
            self._ordered[subject] = _Ordered(order.count, now, since)
            if order.reclaimable and order.count:
                self._lost.discard((order.service, order.data_centre))
                self._refused_at.pop(subject, None)
            return
        if answer is DutyAnswer.conflict:
            self._refused_at[subject] = now
        delay_s = REFUSED_RETRY_S if answer is DutyAnswer.conflict else UNKNOWN_RETRY_S
        self._retry_at[subject] = now + delay_s

    def _due(self, service: ServiceSpec, scaling: Scaling, now: float) -> list[FleetOrder]:
        serving = self._serving(service.name)
        bounds = FleetBounds(
            least=scaling.least,
            most=scaling.most,
            reclaimable_price=scaling.reclaimable_price,
            price_by_data_centre=scaling.price_by_data_centre,
        )
        tokens_per_s = self._tokens_per_s(service.name, serving, now)
        if tokens_per_s is None:
            return []
        planned = self._plan(service.name, tokens_per_s, bounds, now)
        # Before the first request nothing is needed but what is planned.
        needed = 0
        if self._demand.has_requests(service.name):
            needed = math.ceil(tokens_per_s / STAND_IN_TOKENS_PER_ENGINE_S)
        refused = [
            name
            for name in scaling.price_by_data_centre
            if self._refused(service.name, name, now)
            or self._reclaimed(service.name, name, planned, serving)
        ]
        held = self._held(service.name, serving, now - scaling.boot_s - START_MARGIN_S)
        fleet = transition(planned, held, refused, needed, bounds)
        # Reclaimable ones first, since they need the time to start.
        by_kind = sorted(fleet.items(), key=lambda ordered: not ordered[0][1])
        orders = (FleetOrder(service.name, *key, count) for key, count in by_kind)
        return [
            order
            for order in orders
            if self._is_due(order, serving, now) and not self._is_too_early(order, planned)
        ]

    def _held(
        self, service: str, serving: collections.Counter[FleetKey], started_after: float
    ) -> collections.Counter[FleetKey]:
        """Returns the engines that serve or are starting on demand.

        A start that is called off for another one is lost time.
        """
        held = collections.Counter(serving)
        for (name, data_centre, reclaimable), ordered in self._ordered.items():
            starting = ordered.since >= started_after
            if name == service and not reclaimable and starting:
                key = (data_centre, False)
                held[key] = max(held[key], ordered.count)
        return held

    def _refused(self, service: str, data_centre: str, now: float) -> bool:
        at = self._refused_at.get((service, data_centre, True), -math.inf)
        return now - at < REFUSAL_LIFE_S

    def _reclaimed(
        self,
        service: str,
        data_centre: str,
        planned: dict[FleetKey, int],
        serving: collections.Counter[FleetKey],
    ) -> bool:
        """Tells whether all reclaimable ones of a data centre are leaving or gone.

        It holds until an order for new ones is accepted.
        """
        place = (service, data_centre)
        if serving[data_centre, True]:
            self._had.add(place)
            self._lost.discard(place)
        elif place in self._had:
            self._had.discard(place)
            self._lost.add(place)
        return planned[data_centre, True] > 0 and place in self._lost

    def _is_too_early(self, order: FleetOrder, planned: dict[FleetKey, int]) -> bool:
        """Tells whether a new leader does not know yet what on-demand engines stand in for.

        They would be called off, and ordered again when reclaimable ones are refused.
        """
        subject = (order.service, order.data_centre, True)
        answered = subject in self._ordered or subject in self._refused_at
        took_over = self._control.machine.tables.duty.number > 1
        stands_in = not order.reclaimable and planned[order.data_centre, True] > 0
        return took_over and stands_in and not answered

    def _is_due(
        self, order: FleetOrder, serving: collections.Counter[FleetKey], now: float
    ) -> bool:
        subject = (order.service, order.data_centre, order.reclaimable)
        if now < self._retry_at.get(subject, -math.inf):
            return False
        known = self._ordered.get(subject)
        if known is None or known.count != order.count:
            return True
        missing = serving[order.data_centre, order.reclaimable] < order.count
        return missing and now - known.at > REPEAT_S

    def _tokens_per_s(
        self, service: str, serving: collections.Counter[FleetKey], now: float
    ) -> float | None:
        """Returns the demand to plan for, or None if it is better to change nothing."""
        known = self._demand.tokens_per_s(service, now)
        if known is not None:
            return known
        if self._control.machine.tables.duty.number > 1:
            return None  # a change of leader: the fleet was planned by an earlier one
        first = self._first_by_service.setdefault(service, serving.total())
        return first * TOKENS_PER_ENGINE_S * UNKNOWN_DEMAND

    def _plan(
        self, service: str, tokens_per_s: float, bounds: FleetBounds, now: float
    ) -> dict[FleetKey, int]:
        planned_for = self._planned_for.get(service, 0)
        if planned_for * SHRINK_BELOW <= tokens_per_s <= planned_for:
            return self._planned[service]
        fleet = fleet_plan(service, tokens_per_s, TOKENS_PER_ENGINE_S, ON_DEMAND_SHARE, bounds, now)
        log(
            events.FLEET_PLANNED,
            service=service,
            tokens_per_s=round(tokens_per_s),
            reclaimable={name: count for (name, kind), count in fleet.items() if kind},
            on_demand={name: count for (name, kind), count in fleet.items() if not kind},
        )
        self._planned[service] = fleet
        self._planned_for[service] = tokens_per_s
        return fleet

    def _serving(self, service: str) -> collections.Counter[FleetKey]:
        known = self._control.publisher.registry.registered_by_instance.values()
        return collections.Counter(
            (each.backend.data_centre, each.backend.reclaimable)
            for each in known
            if each.backend.service == service and each.backend.state == 'serving'
        )
