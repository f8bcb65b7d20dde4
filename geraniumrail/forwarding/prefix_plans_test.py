"""Guards what a configuration enables: the worth of cached prefixes, at the socket of one entry."""

from geraniumrail.deployment.service import EngineLimits
from geraniumrail.forwarding import testing
from geraniumrail.forwarding.forwarder_test import ForwarderCase
from geraniumrail.forwarding.inbound import PromptPart
from geraniumrail.forwarding.testing import SERVICE, StandIn, chunk, event, head

PARTS = (
    PromptPart(part_id='system', tokens=2500),
    PromptPart(part_id='manual', tokens=3800),
    PromptPart(part_id='own', tokens=600),
)
STREAM = [head('req-1'), chunk(event(1)), chunk(b'')]


class PrefixPlansTest(ForwarderCase):
    async def forwarded(self, engine, *scripts, factor=2.5):
        """Serves one request with shared parts and returns what the entry knows then."""
        stands = await self.started(StandIn('i-1'), StandIn('i-2'))
        script = list(scripts)
        for stand in stands:
            stand.scripts = script
        forwarder = testing.make_forwarder(
            [testing.route(kind='stream', resumable=True)],
            [each.backend() for each in stands],
            engine=engine,
        )
        forwarder.parts.view.knowledge.speeds.observe_factor('i-1', factor, 0)
        reply = await self.serve(forwarder, parts=PARTS, prompt_tokens=6900, output_tokens=150)
        self.assertEqual(reply.ended, 'whole')
        return forwarder.parts.view.knowledge

    async def test_service_without_memory_is_served_as_before(self):
        """A deployment that does not name the memory of its engines must not change."""
        for engine in (None, EngineLimits(slots=32, kv_tokens=0)):
            knowledge = await self.forwarded(engine, STREAM)
            self.assertFalse(knowledge.prefix_values)

    async def test_servers_that_work_alike_are_chosen_as_before(self):
        """Placement by value had worse seconds where no server reports a work factor."""
        engine = EngineLimits(slots=32, kv_tokens=278_000)
        knowledge = await self.forwarded(engine, STREAM, factor=1)
        self.assertFalse(knowledge.prefix_values)

    async def test_parts_of_a_repeated_request_count_once(self):
        """A failing engine would make the parts of its requests look popular."""
        engine = EngineLimits(slots=32, kv_tokens=278_000)
        knowledge = await self.forwarded(engine, [testing.RESET], STREAM)
        value = knowledge.prefix_values[SERVICE]
        per_s = value.popularity.requests_per_s(0) * value.popularity.window_s(0)
        self.assertLessEqual(per_s, 1)
        self.assertGreater(value.cached_share(0), 0)
