"""Version moves: start, status, cancel."""

from aiohttp import web

from geraniumrail.callers.bodies import parse_object, read_body
from geraniumrail.callers.failures import json_response
from geraniumrail.control.control import Control
from geraniumrail.errors.state import UnknownMoveError
from geraniumrail.operators.fields import MAX_BODY_BYTES, operator_of, seconds_field, text_field
from geraniumrail.state import commands
from geraniumrail.state.move import Move

BASE = '/v1/admin/moves'


class MoveRoutes:
    """Answers from the leader."""

    def __init__(self, control: Control) -> None:
        """Connects the control role.

        :param control: the control role of this process.
        """
        self._control = control

    def routes(self) -> list[web.RouteDef]:
        """Returns the route table."""
        return [
            web.get(BASE, self.list_moves),
            web.post(BASE, self.start),
            web.get(f'{BASE}/{{move_id}}', self.read),
            web.delete(f'{BASE}/{{move_id}}', self.cancel),
        ]

    async def list_moves(self, request: web.Request) -> web.Response:
        """Returns all moves.

        :param request: the HTTP request.
        """
        operator_of(request)
        await self._control.replica.read_barrier()
        moves = self._control.machine.tables.moves_by_id.values()
        return json_response({'moves': [self._shown(move) for move in moves]})

    async def start(self, request: web.Request) -> web.Response:
        """Starts a move; the same move id returns the first move again.

        :param request: the HTTP request.
        """
        operator = operator_of(request)
        body = parse_object(await read_body(request, MAX_BODY_BYTES))
        now = self._control.wall()
        command = commands.StartMove(
            move_id=text_field(body, 'move_id'),
            service=text_field(body, 'service'),
            to_version=text_field(body, 'to_version'),
            deadline=now + seconds_field(body, 'deadline_s'),
            operator=operator,
            at=now,
        )
        result = await self._control.proposer.propose(command)
        return json_response(self._shown(result.move))

    async def read(self, request: web.Request) -> web.Response:
        """Returns one move.

        :param request: the HTTP request.
        """
        operator_of(request)
        await self._control.replica.read_barrier()
        move_id = request.match_info['move_id']
        move = self._control.machine.tables.moves_by_id.get(move_id)
        if move is None:
            raise UnknownMoveError(move_id=move_id)
        return json_response(self._shown(move))

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels a running move.

        :param request: the HTTP request.
        """
        operator = operator_of(request)
        command = commands.EndMove(
            move_id=request.match_info['move_id'],
            phase='cancelled',
            reason=f'operator: cancelled by {operator}',
            at=self._control.wall(),
        )
        result = await self._control.proposer.propose(command)
        return json_response(self._shown(result.move))

    def _shown(self, move: Move) -> dict[str, object]:
        left = {'deadline_in_s': self._left_s(move)} if move.running() else {}
        return {
            'move_id': move.move_id,
            'service': move.service,
            'from_version': move.from_version,
            'to_version': move.to_version,
            'phase': move.phase,
            'share': move.share,
            'step': move.step,
            'reason': move.reason,
            'operator': move.operator,
            'deadline_at': move.deadline,
            **left,
            'started_at': move.started_at,
            'stepped_at': move.stepped_at,
            'ended_at': move.ended_at,
        }

    def _left_s(self, move: Move) -> float:
        return round(move.deadline - self._control.wall(), 1)
