"""Guards the answer to a question about a move: an ended move must not change with time."""

import json
import types
import unittest
from unittest import mock

from geraniumrail.operators import move_routes
from geraniumrail.state.move import Move

MOVE = Move(
    move_id='move-1',
    service='model-bench',
    from_version='v1',
    to_version='v2',
    deadline=160,
    operator='operator-1',
    started_at=100,
)
ENDED = Move(**{**MOVE.__dict__, 'phase': 'cancelled', 'ended_at': 110})


class MoveRoutesTest(unittest.IsolatedAsyncioTestCase):
    async def asked_at(self, move, wall):
        """Returns the answer of the route for one move at a time."""
        replica = types.SimpleNamespace(read_barrier=mock.AsyncMock())
        tables = types.SimpleNamespace(moves_by_id={move.move_id: move})
        control = types.SimpleNamespace(
            replica=replica,
            machine=types.SimpleNamespace(tables=tables),
            wall=lambda: wall,
        )
        request = types.SimpleNamespace(match_info={'move_id': move.move_id})
        with mock.patch.object(move_routes, 'operator_of', return_value='operator-1'):
            response = await move_routes.MoveRoutes(control).read(request)
        return json.loads(response.body)

    async def test_answer_about_an_ended_move_does_not_change(self):
        early = await self.asked_at(ENDED, 111)
        late = await self.asked_at(ENDED, 140.4)
        self.assertEqual(early, late)
        self.assertEqual(early['deadline_at'], 160)

    async def test_running_move_tells_what_is_left(self):
        self.assertEqual((await self.asked_at(MOVE, 120))['deadline_in_s'], 40)


if __name__ == '__main__':
    unittest.main()
