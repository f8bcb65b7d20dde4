"""Guards cold backend servers at the socket of one entry."""

from geraniumrail.deployment.service import ServiceSpec
from geraniumrail.forwarding import testing
from geraniumrail.forwarding.forwarder_test import ForwarderCase
from geraniumrail.forwarding.testing import SERVICE, StandIn, head

COLD = 'X-Cold: 2\r\n'


class ColdBackendsTest(ForwarderCase):
    async def played(self, *scripts, count, **announced):
        """Serves requests by one backend server of a service with cold servers."""
        (stand,) = await self.started(StandIn('i-1', *scripts))
        forwarder = testing.make_forwarder(
            [testing.route(attempts=1)], [stand.backend(**announced)]
        )
        self.clock = forwarder.parts.clock
        self.cold = forwarder.parts.view.knowledge.cold
        self.cold.follow([ServiceSpec(name=SERVICE, cold_per_s=7)])
        return stand, [await self.serve(forwarder) for _ in range(count)]

    async def test_cold_server_gets_nothing_and_callers_are_told(self):
        """A caller waited for a server that could take its request only later."""
        stand, (reply,) = await self.played(count=1, cold_s=3)
        self.assertEqual(stand.requests, [])
        self.assertEqual(reply.error.type_name, 'not_run')
        self.assertGreater(reply.error.fields['retry_after_s'], 2)

    async def test_answer_of_a_cold_server_counts(self):
        """An answer and a refusal say so seconds before an announcement that is late."""
        answer = head('req-1', body=b'x', extra=COLD)
        refusal = head('req-1', '503 Full', b'', f'X-Not-Run: 1\r\n{COLD}')
        for script in (answer, refusal):
            with self.subTest(script=script):
                stand, _ = await self.played([script], count=4)
                self.assertEqual(len(stand.requests), 1)
                self.assertEqual(list(self.cold.report(self.clock.now())), ['i-1'])

    async def test_work_of_a_cold_server_is_not_measured(self):
        """A cold start lowered the throughput of its service, so that more engines were ordered."""
        for per_s, measured in ((7, 0), (0, 1)):
            with self.subTest(per_s=per_s):
                events = head('req-1') + testing.chunk(testing.event(1)) + b'0\r\n\r\n'
                (stand,) = await self.started(StandIn('i-1', [events]))
                forwarder = testing.make_forwarder(
                    [testing.route(kind='stream')], [stand.backend(cold_s=60)]
                )
                cold = forwarder.parts.view.knowledge.cold
                cold.follow([ServiceSpec(name=SERVICE, cold_per_s=per_s)])
                now = forwarder.parts.clock.now()
                cold.take_rates({'i-1': 1000}, 1, now + 60, now - 1)
                await self.serve(forwarder, prompt_tokens=100, output_tokens=10)
                (demand,) = forwarder.parts.demand.take(0)
                self.assertEqual(demand.worked_tokens > 0, measured)
