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
# An engine that ignores order numbers may still carry out an order that the previous leader sent
# just before its lease ended. The sum includes a margin for clocks that run at different rates.
FIRST_ORDER_DELAY_S = ReplicaConfig.lease_s + ORDER_TIMEOUT_S + 0.25


class EngineClient(Protocol):
    """Sends orders to engines."""

    async def order(self, backend: Backend, order: EngineOrder, limit_s: float) -> str:
        """Sends an order; returns `accepted` or `repeated`.

        :param backend: the engine.
        :param order: the order, with its term and number.
        :param limit_s: timeout of the call in seconds.
        """


class OrderSender:
    """Sends the orders of the leader; each has a fencing number from the log."""

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
        :param publisher: has the registry of the backend servers.
        :param proposer: proposes commands.
        :param clock: time.
        """
        self._machine = machine
        self._leadership = leadership
        self._publisher = publisher
        self._proposer = proposer
        self._clock = clock
        self._leader_since = clock.now()

    def became_leader(self) -> None:
        """Records the start of a leadership."""
        self._leader_since = self._clock.now()

    async def send(
        self,
        engines: EngineClient,
        command: commands.IssueOrder,
    ) -> tuple[EngineOrder, str]:
        """Sends an order and returns it with the engine's answer.

        :param engines: client that sends the order.
        :param command: the order; a repeated id gets the same number.
        :raises NotLeaderError: if this process may not act as the leader.
        :raises UnknownInstanceError: if no such engine is announced.
        :raises OrderSupersededError: if a later order was issued to the engine.
        :raises BackendError: if the engine did not accept it; the call may be repeated.
        """
        term = self._leadership.require_term()
        backend = self._find_engine(command.backend)
        await self._await_end_of_earlier_orders(backend)
        issued = await self._proposer.propose(command)
        if issued.superseded:
            raise OrderSupersededError(order_id=command.order_id, instance=command.backend)
        order = EngineOrder(
            term=term,
            number=issued.number,
            kind=command.kind,
            name=command.name,
        )
        # Checked again just before sending: another leader may have been elected meanwhile.
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

    async def _await_end_of_earlier_orders(self, backend: Backend) -> None:
        settings = resolve(self._machine.tables.tree, '*', backend.service, '')
        if settings.fencing == 'enforced':
            return
        remaining_s = self._leader_since + FIRST_ORDER_DELAY_S - self._clock.now()
        if remaining_s > 0:
            await self._clock.sleep(remaining_s)

    def _find_engine(self, instance: str) -> Backend:
        registered = self._publisher.registry.registered_by_instance.get(instance)
        if registered is None or registered.backend.kind != 'engine':
            raise UnknownInstanceError(instance=instance)
        return registered.backend
