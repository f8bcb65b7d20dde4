"""Plans how many backend servers to order; soft state of the control leader."""

import collections
import dataclasses
import math
from collections.abc import Collection

from geraniumrail.control import events
from geraniumrail.control.control import Control
from geraniumrail.control.duty_call import DutyAnswer, FleetOrder
from geraniumrail.control.fleet_demand import FleetDemand
from geraniumrail.core.events import log
from geraniumrail.deployment.service import Scaling, ServiceSpec
from geraniumrail.links.messages import EntryReport
from geraniumrail.placement.fleet_plan import FleetBounds, FleetKey, fleet_plan, next_fleet

PLAN_INTERVAL_S = 0.5
# After a change of leader, and at the first start, the backend servers announce themselves one
# after the other. Before this time since the first of a service the registry may lack some, and an
# order based on it would stop them.
ANNOUNCEMENT_WAIT_S = 2.0
# An order that was refused because no machine is available is retried after this time.
REFUSED_RETRY_S = 2.0
UNKNOWN_RETRY_S = 1.0
# A refusal is assumed to hold for this time: longer than the retry interval and a call together.
REFUSAL_VALID_S = 4.0
# An ordered engine serves at the latest this long after its expected boot time.
START_MARGIN_S = 2.0
# An order is repeated while fewer backend servers serve than were ordered; repeating the same
# number starts no additional ones.
REPEAT_INTERVAL_S = 2.0
# A new plan is made when the load rises above the planned load, or falls below a part of it. The
# plan is for a little more than the present load, so that it does not follow each small change.
PLAN_HEADROOM = 1.1
REPLAN_LOAD_RATIO = 0.7
# Part of their time for which engines may be busy on average. Answers are late well below 1, since
# prompts arrive in bursts and a long one delays those behind it. Reclaimable engines are cheap, so
# more of them are kept than on-demand ones that substitute for them.
RECLAIMABLE_UTILISATION = 0.3
SUBSTITUTE_UTILISATION = 0.7
# The number of substitutes falls only after this time: orders that follow each change of the
# estimates stop engines that are starting.
SUBSTITUTE_HOLD_S = 10.0
# Until demand is known, the load that is planned for is this part of the engines that serve.
UNKNOWN_UTILISATION = 0.48
ON_DEMAND_SHARE: float = 0

_OrderKey = tuple[str, str, bool]  # service, data centre, reclaimable
_Counts = collections.deque[tuple[float, int]]  # (seconds, engines)


@dataclasses.dataclass(frozen=True)
class _Load:
    tokens_per_s: float
    tokens_per_engine_s: float  # of an engine that is never idle

    @property
    def busy_engines(self) -> float:
        """Engines that would be busy all the time."""
        return self.tokens_per_s / self.tokens_per_engine_s


@dataclasses.dataclass(frozen=True)
class _Ordered:
    count: int
    last_ordered_at: float
    first_ordered_at: float  # of this count


class FleetPlanner:
    """Orders on-demand and reclaimable backend servers by data centre.

    On-demand ones substitute for reclaimable ones while too few of these serve.
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
        """Drops all state and orders everything again, since earlier orders may have been lost."""
        self._leader_since = self._control.now()
        self._first_announced_at_by_service: dict[str, float] = {}
        self._ordered_by_key: dict[_OrderKey, _Ordered] = {}
        self._retry_at_by_key: dict[_OrderKey, float] = {}
        self._refused_at_by_key: dict[_OrderKey, float] = {}
        # (service, data centre) in which reclaimable engines served when last seen
        self._with_reclaimable: set[tuple[str, str]] = set()
        # (service, data centre) that lost all of these, until an order for new ones is accepted
        self._lost_reclaimable: set[tuple[str, str]] = set()
        self._initial_engines_by_service: dict[str, int] = {}
        self._plan_by_service: dict[str, dict[FleetKey, int]] = {}
        self._planned_load_by_service: dict[str, float] = {}  # in busy engines
        # data centres whose engines were left out of the plan
        self._left_out_by_service: dict[str, frozenset[str]] = {}
        self._needed_by_service: dict[str, _Counts] = {}
        self._planned_at = -math.inf
        self._demand = FleetDemand()

    def observe(self, report: EntryReport, now: float) -> None:
        """Records the demand that one entry reports.

        :param report: the entry's report.
        :param now: monotonic seconds.
        """
        self._demand.observe(report.demand, now)

    def due_orders(self) -> list[FleetOrder]:
        """Returns the orders that are due."""
        now = self._control.now()
        if now - self._planned_at < PLAN_INTERVAL_S:
            return []
        self._planned_at = now
        deployment = self._control.machine.tables.deployment
        return [
            order
            for service in deployment.services
            if service.scaling is not None and self._is_announced(service.name, now)
            for order in self._due_orders_of(service, service.scaling, now)
        ]

    def record_answer(self, order: FleetOrder, answer: DutyAnswer) -> None:
        """Records the answer to an order.

        :param order: the order.
        :param answer: answer of the API.
        """
        now = self._control.now()
        key = (order.service, order.data_centre, order.reclaimable)
        if answer is DutyAnswer.accepted:
            known = self._ordered_by_key.get(key)
            is_repeat = known is not None and known.count == order.count
            first_ordered_at = known.first_ordered_at if known is not None and is_repeat else now
            self._ordered_by_key[key] = _Ordered(order.count, now, first_ordered_at)
            if order.reclaimable and order.count:
                self._lost_reclaimable.discard((order.service, order.data_centre))
                self._refused_at_by_key.pop(key, None)
            return
        if answer is DutyAnswer.conflict:
            self._refused_at_by_key[key] = now
        delay_s = REFUSED_RETRY_S if answer is DutyAnswer.conflict else UNKNOWN_RETRY_S
        self._retry_at_by_key[key] = now + delay_s

    def _is_announced(self, service: str, now: float) -> bool:
        """Returns whether the engines of a service have had the time to announce themselves."""
        announced_since = self._leader_since
        if self._control.machine.tables.duty.number <= 1:
            # At the first start the engines announce themselves only after an election.
            if service not in self._first_announced_at_by_service and self._serving(service):
                self._first_announced_at_by_service[service] = now
            announced_since = self._first_announced_at_by_service.get(service, announced_since)
        return now - announced_since >= ANNOUNCEMENT_WAIT_S

    def _due_orders_of(
        self, service: ServiceSpec, scaling: Scaling, now: float
    ) -> list[FleetOrder]:
        bounds = self._bounds(service, scaling)
        if not bounds.price_by_data_centre:
            return []
        serving = self._serving(service.name, self._left_out_by_service[service.name])
        load = self._load(service.name, now)
        if load is None:
            return []
        planned = self._plan(service.name, load, bounds, now)
        # Before the first request no more engines are needed than are planned.
        needed = 0
        if self._demand.has_requests(service.name):
            needed = self._most_needed(
                service.name, math.ceil(load.busy_engines / SUBSTITUTE_UTILISATION), now
            )
            needed += self._lost_to_cold(service, scaling, load, now)
        refused = [
            name
            for name in bounds.price_by_data_centre
            if self._is_refused(service.name, name, now)
            or self._is_reclaimed(service.name, name, planned, serving)
        ]
        current = self._serving_or_starting(
            service.name, serving, now - scaling.boot_s - START_MARGIN_S
        )
        fleet = next_fleet(planned, current, refused, needed, bounds)
        # Reclaimable ones are ordered first, since they take time to start.
        by_kind = sorted(fleet.items(), key=lambda ordered: not ordered[0][1])
        orders = (FleetOrder(service.name, *key, count) for key, count in by_kind)
        return [
            order
            for order in orders
            if self._is_due(order, serving, now) and not self._is_premature(order, planned)
        ]

    def _bounds(self, service: ServiceSpec, scaling: Scaling) -> FleetBounds:
        """Returns the bounds; nothing is ordered or cancelled in a data centre without a price."""
        left_out = self._left_out(service)
        return FleetBounds(
            least=scaling.least,
            most=scaling.most,
            reclaimable_price=scaling.reclaimable_price,
            price_by_data_centre={
                name: price
                for name, price in scaling.price_by_data_centre.items()
                if name not in left_out
            },
        )

    def _left_out(self, service: ServiceSpec) -> frozenset[str]:
        """Returns the data centres that are evacuated, or were until a short time ago.

        Their engines may have become cold, so replacements are kept until they are warm.
        """
        tables = self._control.machine.tables
        now = self._control.agreed_wall_time()
        ended = (
            data_centre
            for data_centre, ended_at in tables.evacuation_ends_by_data_centre.items()
            if now < ended_at + service.cold_start_s
        )
        left_out = frozenset((*tables.evacuations_by_data_centre, *ended))
        known = self._left_out_by_service.setdefault(service.name, frozenset())
        if left_out != known:
            self._left_out_by_service[service.name] = left_out
            self._planned_load_by_service.pop(service.name, None)  # the plan is made anew
            log(events.FLEET_LEFT_OUT, service=service.name, data_centres=sorted(left_out))
        return left_out

    def _most_needed(self, service: str, needed: int, now: float) -> int:
        """Returns the highest recent number of engines that cover the demand."""
        recent = self._needed_by_service.setdefault(service, collections.deque())
        recent.append((now, needed))
        while recent[0][0] < now - SUBSTITUTE_HOLD_S:
            recent.popleft()
        return max(count for _, count in recent)

    def _serving_or_starting(
        self, service: str, serving: collections.Counter[FleetKey], started_after: float
    ) -> collections.Counter[FleetKey]:
        """Returns the engines that serve, and the on-demand ones that are starting.

        Cancelling a start in favour of another one loses the time already spent on it.
        """
        engines = collections.Counter(serving)
        for (name, data_centre, reclaimable), ordered in self._ordered_by_key.items():
            starting = ordered.first_ordered_at >= started_after
            if name == service and not reclaimable and starting:
                key = (data_centre, False)
                engines[key] = max(engines[key], ordered.count)
        return engines

    def _is_refused(self, service: str, data_centre: str, now: float) -> bool:
        at = self._refused_at_by_key.get((service, data_centre, True), -math.inf)
        return now - at < REFUSAL_VALID_S

    def _is_reclaimed(
        self,
        service: str,
        data_centre: str,
        planned: dict[FleetKey, int],
        serving: collections.Counter[FleetKey],
    ) -> bool:
        """Returns whether all reclaimable ones of a data centre are leaving or gone.

        This stays true until an order for new ones is accepted.
        """
        location = (service, data_centre)
        if serving[data_centre, True]:
            self._with_reclaimable.add(location)
            self._lost_reclaimable.discard(location)
        elif location in self._with_reclaimable:
            self._with_reclaimable.discard(location)
            self._lost_reclaimable.add(location)
        return planned[data_centre, True] > 0 and location in self._lost_reclaimable

    def _is_premature(self, order: FleetOrder, planned: dict[FleetKey, int]) -> bool:
        """Returns whether a new leader must not change the number of on-demand substitutes yet.

        Until its order for reclaimable engines is answered, it would cancel the substitutes, and
        order them again after a refusal.
        """
        key = (order.service, order.data_centre, True)
        answered = key in self._ordered_by_key or key in self._refused_at_by_key
        has_predecessor = self._control.machine.tables.duty.number > 1
        is_substitute = not order.reclaimable and planned[order.data_centre, True] > 0
        return has_predecessor and is_substitute and not answered

    def _is_due(
        self, order: FleetOrder, serving: collections.Counter[FleetKey], now: float
    ) -> bool:
        key = (order.service, order.data_centre, order.reclaimable)
        if now < self._retry_at_by_key.get(key, -math.inf):
            return False
        known = self._ordered_by_key.get(key)
        if known is None or known.count != order.count:
            return True
        missing = serving[order.data_centre, order.reclaimable] < order.count
        return missing and now - known.last_ordered_at > REPEAT_INTERVAL_S

    def _load(self, service: str, now: float) -> _Load | None:
        """Returns the load to plan for, or None if the orders must not change."""
        demand = self._demand.tokens_per_s(service, now)
        capacity = self._demand.tokens_per_engine_s(service)
        if demand is not None and capacity is not None:
            return _Load(demand, capacity)
        if self._control.machine.tables.duty.number > 1:
            return None  # an earlier leader planned the current engines
        initial = self._initial_engines_by_service.setdefault(
            service, self._serving(service).total()
        )
        return _Load(initial * UNKNOWN_UTILISATION, 1)

    def _plan(
        self, service: str, load: _Load, bounds: FleetBounds, now: float
    ) -> dict[FleetKey, int]:
        planned_load = self._planned_load_by_service.get(service, -1)  # -1: not planned
        if planned_load * REPLAN_LOAD_RATIO <= load.busy_engines <= planned_load:
            return self._plan_by_service[service]
        capacity = load.tokens_per_engine_s * RECLAIMABLE_UTILISATION
        demand = load.tokens_per_s * PLAN_HEADROOM
        fleet = fleet_plan(service, demand, capacity, ON_DEMAND_SHARE, bounds, now)
        log(
            events.FLEET_PLANNED,
            service=service,
            tokens_per_s=round(load.tokens_per_s, 1),
            tokens_per_engine_s=round(load.tokens_per_engine_s, 1),
            reclaimable={name: count for (name, kind), count in fleet.items() if kind},
            on_demand={name: count for (name, kind), count in fleet.items() if not kind},
        )
        self._plan_by_service[service] = fleet
        self._planned_load_by_service[service] = load.busy_engines * PLAN_HEADROOM
        return fleet

    def _lost_to_cold(self, service: ServiceSpec, scaling: Scaling, load: _Load, now: float) -> int:
        """Returns the engines that cold ones fall short of.

        A cold time that is over before a new engine would serve counts for nothing: each cold
        start of a data centre would order as many engines again.
        """
        if service.cold_per_s <= 0:
            return 0
        served = now + scaling.boot_s
        cold = sum(
            registered.backend.service == service.name
            and registered.cold_until > served
            and registered.backend.data_centre not in self._left_out_by_service[service.name]
            for registered in self._control.publisher.registry.registered_by_instance.values()
        )
        tokens_per_s = service.cold_per_s * self._demand.tokens_per_request(service.name)
        share = min(1, tokens_per_s / load.tokens_per_engine_s)
        return math.floor(cold * (1 - share))

    def _serving(
        self, service: str, left_out: Collection[str] = ()
    ) -> collections.Counter[FleetKey]:
        known = self._control.publisher.registry.registered_by_instance.values()
        return collections.Counter(
            (registered.backend.data_centre, registered.backend.reclaimable)
            for registered in known
            if registered.backend.service == service
            and registered.backend.state == 'serving'
            and registered.backend.data_centre not in left_out
        )
