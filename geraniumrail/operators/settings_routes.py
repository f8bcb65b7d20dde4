"""Settings: read, change, explain, history."""

from typing import Any

from aiohttp import web

from geraniumrail.callers.bodies import parse_object, read_body
from geraniumrail.callers.failures import json_response
from geraniumrail.control.control import Control
from geraniumrail.errors.request import InvalidRequestError
from geraniumrail.operators.fields import MAX_BODY_BYTES, operator_of, text_field, whole_field
from geraniumrail.operators.in_force import await_in_force
from geraniumrail.settings.node import Node
from geraniumrail.settings.resolve import explain
from geraniumrail.state import commands, results
from geraniumrail.state.apply_moves import MOVE_CHANGE_PREFIX

HISTORY_LINES = 200


class SettingsRoutes:
    """Answers from the leader, after a read barrier."""

    def __init__(self, control: Control) -> None:
        """Connects the control role.

        :param control: the control role of this process.
        """
        self._control = control

    def routes(self) -> list[web.RouteDef]:
        """Returns the route table."""
        base = '/v1/admin/settings'
        return [
            web.get(base, self.read),
            web.put(base, self.change),
            web.get(f'{base}/explain', self.explain),
            web.get(f'{base}/history', self.history),
        ]

    async def read(self, request: web.Request) -> web.Response:
        """Returns one node, or all nodes without a path.

        :param request: the HTTP request.
        """
        operator_of(request)
        await self._control.replica.read_barrier()
        tree = self._control.machine.tables.tree
        path = request.query.get('path')
        if path is None:
            nodes = [_shown(node) for node in tree.nodes_by_path.values()]
            return json_response({'revision': tree.revision, 'nodes': nodes})
        node = tree.nodes_by_path.get(path)
        empty = {'path': path, 'version': 0, 'values': {}}
        return json_response({'revision': tree.revision, **(_shown(node) if node else empty)})

    async def change(self, request: web.Request) -> web.Response:
        """Changes one node and answers when the change is in force everywhere.

        :param request: the HTTP request.
        """
        operator = operator_of(request)
        body = parse_object(await read_body(request, MAX_BODY_BYTES))
        values = body.get('values')
        if not isinstance(values, dict):
            raise InvalidRequestError(reason='values must be an object')
        change_id = text_field(body, 'change_id')
        if change_id.startswith(MOVE_CHANGE_PREFIX):
            raise InvalidRequestError(reason=f'change_id must not begin with {MOVE_CHANGE_PREFIX}')
        command = commands.ChangeSettings(
            change_id=change_id,
            path=text_field(body, 'path'),
            expected_version=whole_field(body, 'expected_version'),
            values=_scalars(values),
            operator=operator,
            at=self._control.wall(),
        )
        result: results.Changed = await self._control.proposer.propose(command)
        in_force = await await_in_force(self._control, result.revision)
        return json_response(
            {
                'change_id': result.change_id,
                'path': result.path,
                'version': result.version,
                'revision': result.revision,
                'in_force': in_force,
            },
        )

    async def explain(self, request: web.Request) -> web.Response:
        """Returns each effective value and where it comes from.

        :param request: the HTTP request.
        """
        operator_of(request)
        await self._control.replica.read_barrier()
        found = explain(
            self._control.machine.tables.tree,
            request.query.get('organisation', '*'),
            request.query.get('service', ''),
            request.query.get('route', ''),
        )
        shown = [
            {'key': each.key, 'value': each.value, 'path': each.path, 'version': each.version}
            for each in found
        ]
        return json_response({'values': shown})

    async def history(self, request: web.Request) -> web.Response:
        """Returns the latest changes, of one node or of all.

        :param request: the HTTP request.
        """
        operator_of(request)
        await self._control.replica.read_barrier()
        path = request.query.get('path')
        changes = [
            {
                'change_id': change.change_id,
                'path': change.path,
                'operator': change.operator,
                'at': change.at,
                'values': change.values,
                'outcome': 'changed' if change.changed else change.refused.type_name,
                'version': change.changed.version if change.changed else None,
            }
            for change in self._control.machine.tables.changes_by_id.values()
            if path in {None, change.path}
        ]
        return json_response({'changes': changes[-HISTORY_LINES:]})


def _shown(node: Node) -> dict[str, Any]:
    return {
        'path': node.path,
        'version': node.version,
        'values': node.values,
        'change_id': node.change_id,
        'operator': node.operator,
    }


def _scalars(values: dict[str, Any]) -> dict[str, bool | int | float | str | None]:
    for key, value in values.items():
        if value is not None and not isinstance(value, bool | int | float | str):
            raise InvalidRequestError(reason=f'{key} must be a single value')
    return values
