"""Guards backend servers that refuse with a time to stay away, at the socket of one entry."""

from geraniumrail.forwarding import testing
from geraniumrail.forwarding.forwarder_test import ForwarderCase
from geraniumrail.forwarding.testing import StandIn, head

PAUSE = 'X-Not-Run: 1\r\nRetry-After: 30\r\n'
MOST = 2  # requests that may reach a backend server during its pause


class EnginePausesTest(ForwarderCase):
    async def refused(self, status, extra, route):
        """Serves five requests by one backend server that refuses all."""
        refusal = head('req-1', status, b'', extra)
        (stand,) = await self.started(StandIn('i-1', *[[refusal]] * 5))
        forwarder = testing.make_forwarder([route], [stand.backend()])
        replies = [await self.serve(forwarder) for _ in range(5)]
        return stand, forwarder, replies

    async def test_refusal_with_a_pause_keeps_requests_away(self):
        """The time in a refusal was told to the caller, and the next request was sent at once."""
        stand, _, replies = await self.refused('503 Full', PAUSE, testing.route(kind='unsafe'))
        self.assertLessEqual(len(stand.requests), MOST)
        self.assertEqual(replies[-1].error.type_name, 'not_run')
        self.assertGreater(replies[-1].error.fields['retry_after_s'], 10)

    async def test_refusal_without_a_pause_does_not(self):
        """A full backend server takes the next request as soon as another has ended."""
        stand, _, _ = await self.refused(
            '503 Full', 'X-Not-Run: 1\r\n', testing.route(kind='unsafe', attempts=1)
        )
        self.assertEqual(len(stand.requests), 5)

    async def test_pause_ends_when_the_backend_server_starts_again(self):
        """A new process under the same id has asked nothing."""
        stand, forwarder, _ = await self.refused('503 Full', PAUSE, testing.route(kind='unsafe'))
        stand.scripts = [[head('req-1', body=b'x')]]
        forwarder.parts.view.observe([stand.backend(incarnation=1)])
        reply = await self.serve(forwarder)
        self.assertEqual((reply.status, reply.content), (200, b'x'))
