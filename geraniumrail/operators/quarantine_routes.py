"""Quarantines: list and release."""

from aiohttp import web

from geraniumrail.callers.bodies import parse_object, read_body
from geraniumrail.callers.failures import json_response
from geraniumrail.control.control import Control
from geraniumrail.core.events import log
from geraniumrail.operators.fields import MAX_BODY_BYTES, operator_of, text_field
from geraniumrail.quarantine import events
from geraniumrail.state.release_quarantine import ReleaseQuarantine

BASE = '/v1/admin/quarantines'
MAX_LABEL = 16384  # characters; a quarantine may name many prompt parts


class QuarantineRoutes:
    """Answers from the replicated log."""

    def __init__(self, control: Control) -> None:
        """Connects the control role.

        :param control: the control role of this process.
        """
        self._control = control

    def routes(self) -> list[web.RouteDef]:
        """Returns the route table."""
        return [web.get(BASE, self.list_quarantines), web.post(f'{BASE}/release', self.release)]

    async def list_quarantines(self, request: web.Request) -> web.Response:
        """Returns the quarantines in force.

        :param request: the HTTP request.
        """
        operator_of(request)
        await self._control.replica.read_barrier()
        shown = [
            {
                'quarantine': label,
                'failed_trials': each.failures - 1,
                'next_trial': None if each.is_final else each.until,
                'last_crash': each.since,
            }
            for label, each in self._control.machine.tables.quarantines_by_label.items()
        ]
        return json_response({'quarantines': shown})

    async def release(self, request: web.Request) -> web.Response:
        """Ends a quarantine; the same release id is safe to resend.

        :param request: the HTTP request.
        """
        operator = operator_of(request)
        body = parse_object(await read_body(request, MAX_BODY_BYTES))
        command = ReleaseQuarantine(
            release_id=text_field(body, 'release_id'),
            label=text_field(body, 'quarantine', MAX_LABEL),
            operator=operator,
            at=self._control.wall(),
        )
        released = await self._control.proposer.propose(command)
        log(
            events.RELEASED,
            quarantine=released.label,
            reason='operator',
            operator=released.operator,
        )
        return json_response(
            {
                'quarantine': released.label,
                'released_at': released.at,
                'operator': released.operator,
            }
        )
