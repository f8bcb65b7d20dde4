"""Calls to the control leader from any control process."""

import asyncio
import functools
import random
from collections.abc import Callable
from typing import Any

from geraniumrail.control import events
from geraniumrail.control.control import Control
from geraniumrail.control.evacuations import set_evacuation
from geraniumrail.core.events import log
from geraniumrail.deployment.check import check
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.entry.control_link import ControlLink
from geraniumrail.entry.leader_finder import LeaderFinder
from geraniumrail.errors.deployment import UnknownServiceMoveError
from geraniumrail.errors.link import NoControlError
from geraniumrail.errors.request import InvalidRequestError
from geraniumrail.links.messages import Accepted
from geraniumrail.links.pool import LinkPool
from geraniumrail.links.requests import (
    Announce,
    BeginMove,
    ChangeEvacuation,
    DeploymentNow,
    EvacuationChanged,
    EvacuationsNow,
    MoveNow,
    ReadDeployment,
    ReadEvacuations,
    ReadMove,
    Withdraw,
)
from geraniumrail.links.server import LinkServer
from geraniumrail.state import commands

# Operators and backend servers try another process after 1 s.
CALL_LIMIT_S = 0.8
OPERATOR = 'operator'
# Far above the error of any clock that is set, so that a wrong clock here keeps nobody out.
MAX_CLOCK_ERROR_S = 86_400.0
MS_PER_S = 1000


class ControlAccess:
    """Handles requests on the leader; other processes forward them to the leader."""

    def __init__(self, control: Control, links: LinkPool, rng: random.Random) -> None:
        """Connects the parts.

        :param control: the control role of this process.
        :param links: connections to other daemons.
        :param rng: source of jitter.
        """
        self._control = control
        self._finder = LeaderFinder(control.addresses())
        self._link = ControlLink(self._finder, links, control, rng)
        self._handlers_by_type = {
            Announce: self._announce,
            Withdraw: self._withdraw,
            ReadDeployment: self._read_deployment,
            ReadMove: self._read_move,
            BeginMove: self._begin_move,
            ReadEvacuations: self._read_evacuations,
            ChangeEvacuation: self._change_evacuation,
        }

    def register(self, server: LinkServer) -> None:
        """Registers the handlers for requests that other control processes forward.

        :param server: the link server of this process.
        """
        for request, handler in self._handlers_by_type.items():
            server.register(request, functools.partial(self._on_leader, handler))

    async def call(self, request: object, limit_s: float = CALL_LIMIT_S) -> Any:
        """Returns the leader's answer to a request.

        :param request: a record that this class handles.
        :param limit_s: timeout in seconds.
        :raises GeraniumrailError: if no leader answered in time, or it refused the request.
        """
        if self._control.leadership.is_active():
            return await self._handlers_by_type[type(request)](request)
        leader = self._control.replica.status().leader
        if leader:
            self._finder.hint(leader)
        return await self._link.ask(request, limit_s)

    async def replace(self, deployment: Deployment, limit_s: float = CALL_LIMIT_S) -> int:
        """Replaces the configuration; returns the version in the log, which may be higher.

        :param deployment: the configuration.
        :param limit_s: timeout in seconds.
        :raises InvalidDeploymentError: if it is invalid; nothing has changed.
        :raises GeraniumrailError: if the outcome is unknown; the call may be repeated.
        """
        check(deployment)
        command = commands.ReplaceDeployment(deployment=deployment)
        if self._control.leadership.is_active():
            held = await self._control.proposer.propose(command)
        else:
            leader = self._control.replica.status().leader
            if leader:
                self._finder.hint(leader)
            held = await self._link.propose(command, limit_s)
        log(events.DEPLOYMENT_ACCEPTED, version=deployment.version, held=held.version)
        return held.version

    async def set_evacuation(
        self,
        data_centre: str,
        evacuated: bool,
        is_awaited: Callable[[], bool],
        limit_s: float = CALL_LIMIT_S,
    ) -> None:
        """Starts or ends the evacuation of a data centre; returns when that is in the log.

        :param data_centre: its name; none is unknown.
        :param evacuated: whether it gets no requests from now on.
        :param is_awaited: returns whether the operator still waits.
        :param limit_s: limit in seconds.
        :raises GeraniumrailError: if the outcome is unknown; the call may be repeated.
        """
        wanted = ChangeEvacuation(
            data_centre=data_centre, evacuated=evacuated, after=0, operator=OPERATOR
        )
        try:
            async with asyncio.timeout(limit_s):
                await set_evacuation(wanted, self.call, self._control.now, limit_s, is_awaited)
        except TimeoutError as error:
            raise NoControlError(limit_s=limit_s, reason='the log took too long') from error

    async def _on_leader(self, handler: Any, request: object) -> object:
        self._control.leadership.require_term()
        return await handler(request)

    async def _announce(self, request: Announce) -> Accepted:
        latest_start_ms = (self._control.agreed_wall_time() + MAX_CLOCK_ERROR_S) * MS_PER_S
        if request.backend.incarnation > latest_start_ms:
            # It would outdate all announcements of the instance itself.
            raise InvalidRequestError(reason=f'{request.backend.instance} starts in the future')
        self._control.publisher.receive_announcement(request.backend)
        if request.backend.state == 'leaving':
            await self._control.departures.record_leaving(request.backend)
        return Accepted()

    async def _withdraw(self, request: Withdraw) -> Accepted:
        await self._control.departures.withdraw(request.instance, request.incarnation)
        return Accepted()

    async def _read_deployment(self, request: ReadDeployment) -> DeploymentNow:
        await self._control.replica.read_barrier()
        deployment = self._control.machine.tables.deployment
        return DeploymentNow(version=deployment.version, source=deployment.source)

    async def _read_evacuations(self, request: ReadEvacuations) -> EvacuationsNow:
        return await self._control.evacuations.read()

    async def _change_evacuation(self, request: ChangeEvacuation) -> EvacuationChanged:
        return await self._control.evacuations.change(request)

    async def _read_move(self, request: ReadMove) -> MoveNow:
        await self._control.replica.read_barrier()
        move = self._control.machine.tables.last_move(request.service)
        if move is None:
            raise UnknownServiceMoveError(service=request.service)
        return MoveNow(move=move)

    async def _begin_move(self, request: BeginMove) -> MoveNow:
        await self._control.replica.read_barrier()
        tables = self._control.machine.tables
        if tables.deployment.service(request.service) is None:
            raise UnknownServiceMoveError(service=request.service)
        last = tables.last_move(request.service)
        if last is not None and last.to_version == request.to_version:
            # A repeated request: a service moves to each version only once.
            return MoveNow(move=last)
        now = self._control.agreed_wall_time()
        command = commands.StartMove(
            move_id=f'{request.service}:{request.to_version}',
            service=request.service,
            to_version=request.to_version,
            deadline=now + request.duration_s,
            operator=OPERATOR,
            at=now,
            from_version=self._control.version_in_use(request.service, request.to_version),
        )
        result = await self._control.proposer.propose(command)
        return MoveNow(move=result.move)
