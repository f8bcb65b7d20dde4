"""Decides how many backend servers to order; soft state of the control leader."""

import collections
import math

from geraniumrail.control.control import Control
from geraniumrail.control.duty_call import DutyAnswer, FleetOrder
from geraniumrail.deployment.service import Scaling, ServiceSpec

DECIDE_INTERVAL_S = 1.0
# An order that was refused because nothing is to be had is made again after this time.
REFUSED_RETRY_S = 3.0
UNKNOWN_RETRY_S = 1.0

_Subject = tuple[str, str, bool]


class Fleet:
    """Orders on-demand and reclaimable backend servers by data centre."""

    def __init__(self, control: Control) -> None:
        """Connects the control role.

        :param control: the control role of this process.
        """
        self._control = control
        self.became_leader()

    def became_leader(self) -> None:
        """Orders everything again: an earlier leader's orders may have been lost."""
        self._ordered: dict[_Subject, int] = {}
        self._retry_at: dict[_Subject, float] = {}
        self._decided_at = -math.inf

    def due_orders(self) -> list[FleetOrder]:
        """Returns the orders to make now."""
        now = self._control.now()
        if now - self._decided_at < DECIDE_INTERVAL_S:
            return []
        self._decided_at = now
        deployment = self._control.machine.tables.deployment
        wanted = [
            order
            for service in deployment.services
            if service.scaling is not None
            for order in self._wanted(service, service.scaling)
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
            self._ordered[subject] = order.count
            return
        delay_s = REFUSED_RETRY_S if answer is DutyAnswer.conflict else UNKNOWN_RETRY_S
        self._retry_at[subject] = now + delay_s

    def _is_due(self, order: FleetOrder, now: float) -> bool:
        subject = (order.service, order.data_centre, order.reclaimable)
        if self._ordered.get(subject) == order.count:
            return False
        return now >= self._retry_at.get(subject, -math.inf)

    def _wanted(self, service: ServiceSpec, scaling: Scaling) -> list[FleetOrder]:
        present = self._present(service.name)
        data_centres = sorted(scaling.price_by_data_centre) or sorted(
            {data_centre for data_centre, _ in present}
        )
        return [
            FleetOrder(service.name, data_centre, present[data_centre, kind], kind)
            for data_centre in data_centres
            for kind in (False, True)
            if present[data_centre, kind]
        ]

    def _present(self, service: str) -> collections.Counter[tuple[str, bool]]:
        known = self._control.publisher.registry.known_by_instance.values()
        return collections.Counter(
            (each.backend.data_centre, each.backend.reclaimable)
            for each in known
            if each.backend.service == service and each.backend.state == 'serving'
        )
