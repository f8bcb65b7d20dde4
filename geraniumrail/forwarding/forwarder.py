"""Takes requests of callers and counts those in progress."""

import contextlib
from collections.abc import Iterator

from geraniumrail.core.events import Event, log
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.request import NotRunError, OutcomeUnknownError
from geraniumrail.forwarding import events
from geraniumrail.forwarding.admitted import Admitted, admit, spread
from geraniumrail.forwarding.body_budget import BodyBudget
from geraniumrail.forwarding.inbound import Inbound
from geraniumrail.forwarding.limit_check import check_limit
from geraniumrail.forwarding.parts import Parts
from geraniumrail.forwarding.planned_stop import PlannedStop
from geraniumrail.forwarding.recorder import CALLER_GONE, OK
from geraniumrail.forwarding.reply import Reply
from geraniumrail.forwarding.run import ForwardRun
from geraniumrail.tasks.supervise import log_crash

# Callers that come to a leaving entry are sent away for so long; other entries take them at once.
LEAVING_RETRY_S = 0.05
# Answers that wait for slow callers leave room within some seconds.
NO_ROOM_RETRY_S = 1.0
# Of the budget of answers; taken as the size of a whole answer of a route that has had none lately.
UNKNOWN_SIZE_PART = 0.25


class Forwarder:
    """Forwards each request by the configuration in force."""

    def __init__(self, parts: Parts) -> None:
        """Starts without requests.

        :param parts: of the entry.
        """
        self.parts = parts
        self.bodies = BodyBudget(parts.config.body_budget_bytes)
        self._arriving = 0
        self._served = 0
        self._runs: set[ForwardRun] = set()
        self._stop: PlannedStop | None = None

    @property
    def in_progress(self) -> int:
        """Number of requests that this entry works on, also those that are still arriving."""
        return self._arriving + self._served

    @contextlib.contextmanager
    def arriving(self) -> Iterator[None]:
        """Counts a request whose body has not been read: a planned stop must wait for it."""
        self._arriving += 1
        try:
            yield
        finally:
            self._arriving -= 1

    @property
    def leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stop is not None

    def leave(self, ends_at: float) -> None:
        """Begins a planned stop: requests that could outlive it are not taken any more.

        :param ends_at: when the answers of all requests are due, by the entry's clock.
        """
        now, config = self.parts.clock.now(), self.parts.config
        new_streams_s = min(config.new_streams_s, config.new_streams_part * (ends_at - now))
        self._stop = PlannedStop(now, ends_at, new_streams_s)

    def expire(self) -> None:
        """Ends all requests in progress as if their time had passed, each with an answer."""
        for run in self._runs:
            run.expire()
        self.parts.places.reject_all()

    async def serve(self, inbound: Inbound, reply: Reply) -> None:
        """Answers a request.

        :param inbound: the request.
        :param reply: the way back to the caller.
        """
        self._served += 1
        outcome = CALLER_GONE
        try:
            await self._serve(inbound, reply)
            outcome = OK
        except GeraniumrailError as error:
            outcome = error.type_name
            self._log_failure(
                events.BROKEN_OFF if reply.started else events.REFUSED, inbound, error
            )
            await self._end(reply, error)
        except ConnectionError as error:
            # Failures towards the backend servers are typed; this is the caller's connection.
            log(
                events.CALLER_LEFT,
                request=inbound.request_id,
                after_s=round(self.parts.clock.now() - inbound.arrived_at, 4),
                reason=repr(error),
            )
        except Exception as error:  # noqa: BLE001
            # It ends this request and no other; a backend server may have run it.
            unknown = OutcomeUnknownError(reason='unexpected error')
            outcome = unknown.type_name
            log_crash('forwarding', error, request=inbound.request_id)
            await self._end(reply, unknown)
        finally:
            self._served -= 1
            self._record(inbound, outcome)

    def _has_room(self, admitted: Admitted) -> bool:
        """Returns whether answers that wait for slow callers leave room for another one."""
        budget, sizes = self.parts.connections.budget, self.parts.answer_sizes
        size = sizes.largest(admitted.route.name, self.parts.clock.now())
        if size is None:
            size = int(UNKNOWN_SIZE_PART * budget.limit_bytes)
        return budget.has_room(size)

    async def _end(self, reply: Reply, error: GeraniumrailError) -> None:
        if reply.started:
            reply.abort()
        else:
            await reply.refuse(error)

    async def _serve(self, inbound: Inbound, reply: Reply) -> None:
        config = self.parts.config
        limit_s = config.lease_wait_s
        if inbound.deadline_s is not None:
            limit_s = min(limit_s, inbound.deadline_s * config.lease_wait_part)
        await self.parts.view.wait_for_lease(limit_s, config.lease_lost_s)
        admitted = admit(inbound, self.parts)
        self.parts.watch.require_sound(
            admitted.service, admitted.traits, self.parts.view.true_wall()
        )
        await check_limit(inbound, admitted, self.parts)
        self.parts.demand.asked(admitted.service, inbound.tokens or 0)
        if self._stop is not None and not self._stop.takes(admitted, self.parts.clock.now()):
            raise NotRunError(
                reason='this entry is stopping',
                retry_after_s=spread(LEAVING_RETRY_S, self.parts.rng),
            )
        if not self._has_room(admitted):
            raise NotRunError(
                reason='no room for its answer',
                retry_after_s=spread(NO_ROOM_RETRY_S, self.parts.rng),
            )
        run = ForwardRun(inbound, admitted, reply, self.parts)
        self._runs.add(run)
        try:
            await run.answer()
        finally:
            self._runs.remove(run)

    def _record(self, inbound: Inbound, outcome: str) -> None:
        table = self.parts.view.table
        route = table.route(inbound.host, inbound.path)
        holder = None if inbound.api_key is None else table.organisation(inbound.api_key)
        self.parts.recorder.ended(
            '' if route is None else route.name,
            '' if holder is None else holder.name,
            outcome,
            self.parts.clock.now() - inbound.arrived_at,
        )

    def _log_failure(self, event: Event, inbound: Inbound, error: GeraniumrailError) -> None:
        log(
            event,
            request=inbound.request_id,
            host=inbound.host,
            path=inbound.path,
            version=self.parts.view.table.version,
            lease_left_s=round(self.parts.view.lease_left_s(), 2),
            after_s=round(self.parts.clock.now() - inbound.arrived_at, 4),
            type=error.type_name,
            reason=str(error),
            retry_after_s=error.fields.get('retry_after_s'),
        )
