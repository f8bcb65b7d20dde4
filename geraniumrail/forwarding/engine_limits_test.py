"""Guards backend servers that say how many requests they take, at the socket of one entry."""

from geraniumrail.forwarding import testing
from geraniumrail.forwarding.forwarder_test import ForwarderCase
from geraniumrail.forwarding.testing import StandIn, head


class EngineLimitsTest(ForwarderCase):
    async def answered(self, count, *extra):
        """Serves requests by one backend server, whose answers have these headers in turn."""
        scripts = [[head('req-1', body=b'x', extra=line)] for line in extra]
        (stand,) = await self.started(StandIn('i-1', *scripts))
        forwarder = testing.make_forwarder([testing.route()], [stand.backend()])
        replies = [await self.serve(forwarder) for _ in range(count)]
        return stand, replies

    async def test_limited_backend_server_gets_no_more(self):
        """A limit in the head of an answer was not read, also at a plain service."""
        stand, replies = await self.answered(5, *['X-Limit: 0.1\r\n'] * 5)
        self.assertLess(len(stand.requests), 4)
        self.assertEqual(replies[-1].error.type_name, 'not_run')
        self.assertGreater(replies[-1].error.fields['retry_after_s'], 1)

    async def test_limit_ends_with_an_answer_that_names_none(self):
        """Pattern: the engine has recovered; nothing is held back any more."""
        stand, replies = await self.answered(6, 'X-Limit: 0.1\r\n', *[''] * 5)
        self.assertEqual([reply.status for reply in replies], [200] * 6)

    async def test_limit_in_a_refusal_counts(self):
        """An engine in need refuses requests, and names its limit there too."""
        refusal = head('req-1', '503 Full', b'', 'X-Not-Run: 1\r\nX-Limit: 0.1\r\n')
        (stand,) = await self.started(StandIn('i-1', *[[refusal]] * 5))
        forwarder = testing.make_forwarder([testing.route(attempts=1)], [stand.backend()])
        for _ in range(5):
            await self.serve(forwarder)
        self.assertLess(len(stand.requests), 4)
