"""Servers, entries, members, drains and status."""

import functools

from aiohttp import web

from geraniumrail.callers.awaited import is_awaited
from geraniumrail.callers.bodies import parse_object, read_body
from geraniumrail.callers.failures import json_response
from geraniumrail.control.control import Control
from geraniumrail.control.evacuations import set_evacuation
from geraniumrail.errors.request import InvalidRequestError
from geraniumrail.links.requests import ChangeEvacuation
from geraniumrail.operators.fields import MAX_BODY_BYTES, flag_field, operator_of, text_field
from geraniumrail.state import commands

BASE = '/v1/admin'
# Of the client's time for one call.
EVACUATION_LIMIT_S = 4.0


class ClusterRoutes:
    """Answers about this daemon and, on the leader, about all of them."""

    def __init__(self, control: Control) -> None:
        """Connects the control role.

        :param control: the control role of this process.
        """
        self._control = control

    def routes(self) -> list[web.RouteDef]:
        """Returns the route table."""
        return [
            web.get(f'{BASE}/servers', self.servers),
            web.get(f'{BASE}/entries', self.entries),
            web.get(f'{BASE}/members', self.members),
            web.post(f'{BASE}/members', self.change_members),
            web.post(f'{BASE}/drain', self.drain),
            web.get(f'{BASE}/evacuations', self.evacuations),
            web.post(f'{BASE}/evacuations', self.set_evacuation),
            web.get(f'{BASE}/status', self.status),
        ]

    async def servers(self, request: web.Request) -> web.Response:
        """Returns the announced backend servers.

        :param request: the HTTP request.
        """
        operator_of(request)
        self._control.leadership.require_term()
        drained = self._control.machine.tables.drains_by_target
        known = self._control.publisher.registry.registered_by_instance.values()
        shown = [
            {
                'instance': each.backend.instance,
                'service': each.backend.service,
                'address': each.backend.address,
                'data_centre': each.backend.data_centre,
                'version': each.backend.version,
                'state': 'drained' if each.backend.instance in drained else each.backend.state,
                'running': each.backend.load.running,
                'queued': each.backend.load.queued,
            }
            for each in known
        ]
        return json_response({'servers': shown})

    async def entries(self, request: web.Request) -> web.Response:
        """Returns the entries with a lease.

        :param request: the HTTP request.
        """
        operator_of(request)
        self._control.leadership.require_term()
        shown = [
            {
                'entry': info.entry,
                'address': info.address,
                'data_centre': info.data_centre,
                'state': info.state,
                'applied_revision': info.applied_revision,
            }
            for info in self._control.publisher.leases.entries()
        ]
        return json_response({'entries': shown})

    async def members(self, request: web.Request) -> web.Response:
        """Returns the members of the group.

        :param request: the HTTP request.
        """
        operator_of(request)
        self._control.leadership.require_term()
        status = self._control.replica.status()
        shown = [
            {
                'replica_id': member.replica_id,
                'address': member.address,
                'voter': member.voter,
                'lag': status.lag_by_id.get(member.replica_id, 0),
            }
            for member in status.members
        ]
        return json_response({'group_id': status.group_id, 'members': shown})

    async def change_members(self, request: web.Request) -> web.Response:
        """Carries out `init`, `add`, `promote` or `remove`.

        :param request: the HTTP request.
        """
        operator_of(request)
        body = parse_object(await read_body(request, MAX_BODY_BYTES))
        members = self._control.members
        action = text_field(body, 'action')
        if action == 'init':
            await members.create_group()
            return json_response({'replica_id': self._control.replica.replica_id})
        if action == 'add':
            return json_response({'replica_id': await members.add(text_field(body, 'address'))})
        replica_id = text_field(body, 'replica_id')
        if action == 'promote':
            await members.promote(replica_id)
        elif action == 'remove':
            await members.remove(replica_id)
        else:
            raise InvalidRequestError(reason='action must be init, add, promote or remove')
        return json_response({'replica_id': replica_id})

    async def drain(self, request: web.Request) -> web.Response:
        """Starts or ends the drain of an entry or a backend server.

        :param request: the HTTP request.
        """
        operator = operator_of(request)
        body = parse_object(await read_body(request, MAX_BODY_BYTES))
        command = commands.SetDrain(
            target=text_field(body, 'target'),
            draining=flag_field(body, 'draining'),
            operator=operator,
        )
        result = await self._control.proposer.propose(command)
        return json_response({'target': result.target, 'draining': result.draining})

    async def evacuations(self, request: web.Request) -> web.Response:
        """Returns the evacuated data centres.

        :param request: the HTTP request.
        """
        operator_of(request)
        self._control.leadership.require_term()
        found = await self._control.evacuations.read()
        shown = [
            {'data_centre': each.data_centre, 'operator': each.operator, 'at': each.at}
            for each in found.evacuations
        ]
        return json_response({'evacuations': shown})

    async def set_evacuation(self, request: web.Request) -> web.Response:
        """Starts or finishes the evacuation of a data centre.

        :param request: the HTTP request.
        """
        operator = operator_of(request)
        body = parse_object(await read_body(request, MAX_BODY_BYTES))
        wanted = ChangeEvacuation(
            data_centre=text_field(body, 'data_centre'),
            evacuated=flag_field(body, 'evacuated'),
            after=0,
            operator=operator,
        )
        self._control.leadership.require_term()
        await set_evacuation(
            wanted,
            self._control.evacuations.ask,
            self._control.now,
            EVACUATION_LIMIT_S,
            functools.partial(is_awaited, request),
        )
        return json_response({'data_centre': wanted.data_centre, 'evacuated': wanted.evacuated})

    async def status(self, request: web.Request) -> web.Response:
        """Returns the state of this daemon's replica; any member answers.

        :param request: the HTTP request.
        """
        operator_of(request)
        status = self._control.replica.status()
        tables = self._control.machine.tables
        return json_response(
            {
                'replica_id': status.replica_id,
                'group_id': status.group_id,
                'role': status.role,
                'leads': self._control.leadership.is_active(),
                'term': status.term,
                'leader': status.leader,
                'commit': status.commit,
                'applied': status.applied,
                'last_index': status.last_index,
                'snapshot_index': status.snapshot_index,
                'revision': tables.tree.revision,
                'open_bookings': len(tables.open_labels),
                'bookings': len(tables.bookings_by_label),
            },
        )
