"""Orders to engines: load a model, adapter or version, unload, change role."""

from typing import Protocol

from geraniumrail.backends.engine_order import EngineOrder
from geraniumrail.consensus.config import ReplicaConfig
from geraniumrail.control import events
from geraniumrail.control.leadership import Leadership
from geraniumrail.control.proposer import Proposer
from geraniumrail.control.publisher import Publisher
from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.errors.backend import BackendError
from geraniumrail.errors.consensus import NotLeaderError
from geraniumrail.errors.state import OrderSupersededError, UnknownInstanceError
from geraniumrail.settings.resolve import resolve
from geraniumrail.state import commands
from geraniumrail.state.machine import Machine

ORDER_TIMEOUT_S = 2.0
# Engines that ignore order numbers would carry out an order that the old leader sent just before
# its lease ended; the margin allows for clocks that run at different speeds.
FIRST_ORDER_DELAY_S = ReplicaConfig.lease_s + ORDER_TIMEOUT_S + 0.25


class EngineClient(Protocol):
    """Carries orders to engines."""

    async def order(self, backend: Backend, order: EngineOrder, limit_s: float) -> str:
        """Gives an order; returns `accepted` or `repeated`.

        :param backend: the engine.
        :param order: fenced order.
        :param limit_s: limit of the call, in seconds.
        """


class OrderSender:
    """Gives orders in the name of the leader; each has a number from the log."""

    def __init__(
        self,
        machine: Machine,
        leadership: Leadership,
        publisher: Publisher,
        proposer: Proposer,
        clock: Clock,
    ) -> None:
        """Connects the parts.

        :param machine: replicated state.
        :param leadership: tells whether this process may act.
        :param publisher: knows the backend servers.
        :param proposer: proposes commands.
        :param clock: time.
        """
        self._machine = machine
        self._leadership = leadership
        self._publisher = publisher
        self._proposer = proposer
        self._clock = clock
        self._elected_at = clock.now()

    def became_leader(self) -> None:
        """Notes the start of a leadership."""
        self._elected_at = self._clock.now()

    async def send(
        self,
        engines: EngineClient,
        command: commands.IssueOrder,
    ) -> tuple[EngineOrder, str]:
        """Gives an order and returns it with the engine's answer.

        :param engines: carries the order.
        :param command: the order; a repeated id keeps its number.
        :raises NotLeaderError: if this process may not act as the leader.
        :raises UnknownInstanceError: if no such engine is announced.
        :raises OrderSupersededError: if the engine was given a later order since.
        :raises BackendError: if the engine did not take it; safe to repeat.
        """
        term = self._leadership.require_term()
        backend = self._find(command.backend)
        await self._wait_out_old_orders(backend)
        issued = await self._proposer.propose(command)
        if issued.superseded:
            raise OrderSupersededError(order_id=command.order_id, instance=command.backend)
        order = EngineOrder(
            term=term,
            number=issued.number,
            kind=command.kind,
            name=command.name,
        )
        # The last look before the order leaves: another leader may have been elected meanwhile.
        if self._leadership.require_term() != term:
            raise NotLeaderError(leader=None)
        fields = {'instance': backend.instance, 'term': term, 'number': order.number}
        try:
            outcome = await engines.order(backend, order, ORDER_TIMEOUT_S)
        except BackendError as error:
            log(events.ORDER_FAILED, **fields, reason=str(error))
            raise
        log(events.ORDER_SENT, **fields, kind=order.kind, name=order.name, outcome=outcome)
        return order, outcome

    async def _wait_out_old_orders(self, backend: Backend) -> None:
        settings = resolve(self._machine.tables.tree, '*', backend.service, '')
        if settings.fencing == 'enforced':
            return
        left_s = self._elected_at + FIRST_ORDER_DELAY_S - self._clock.now()
        if left_s > 0:
            await self._clock.sleep(left_s)

    def _find(self, instance: str) -> Backend:
        known = self._publisher.registry.registered_by_instance.get(instance)
        if known is None or known.backend.kind != 'engine':
            raise UnknownInstanceError(instance=instance)
        return known.backend
