"""Guards against connections that go silent without closing: traffic moves to a new one."""

import asyncio
import random
import unittest

from aiohttp import web

from geraniumrail.commands.operator_client import OperatorClient, Patience
from geraniumrail.consensus.messages import HelloRequest
from geraniumrail.control.peer_transport import PeerTransport
from geraniumrail.core import codec
from geraniumrail.core.clock import SystemClock
from geraniumrail.entry.announces import Announces
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.control_link import ControlLink
from geraniumrail.entry.follower import Follower
from geraniumrail.entry.leader_finder import LeaderFinder
from geraniumrail.errors.consensus import PeerUnreachableError
from geraniumrail.links.messages import (
    Accepted,
    ControlUpdate,
    EntryInfo,
    EntryReport,
    Propose,
    Proposed,
)
from geraniumrail.links.pool import LinkPool
from geraniumrail.links.server import LinkServer
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.standins.process import Serving
from geraniumrail.testing.relay import Relay

LIMIT_S = 30
INFO = EntryInfo(
    entry='e.1',
    instance='e',
    address='127.0.0.1:1',
    peer_address='127.0.0.1:2',
    data_centre='cheras',
    region='klang-valley',
)


async def _follow(reports):
    async for report in reports:
        yield ControlUpdate(term=1, answers=report.sequence, lease_s=4, revision=0)


async def _propose(request):
    return Proposed(result=codec.encode(Accepted()))


def _report(sequence):
    return EntryReport(sequence=sequence, info=INFO)


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.updates = asyncio.Queue()
        self.links = LinkPool()
        self.addAsyncCleanup(self.links.close)

    async def relay(self, target):
        relay = await Relay.start(target)
        self.addAsyncCleanup(relay.close)
        return relay

    async def leader(self):
        server = LinkServer('127.0.0.1:0')
        server.register(Propose, _propose)
        server.register(HelloRequest, _propose)
        server.register_follow(_follow)
        await server.start()
        self.addAsyncCleanup(server.stop)
        return await self.relay(server.address)

    async def test_follower_gets_a_new_stream(self):
        relay = await self.leader()
        clock = SystemClock()
        view = ClusterView(clock, BackendTracker())
        finder = LeaderFinder([relay.address])
        follower = Follower(view, Announces(clock), finder, self.links, clock, _report)
        follower.listeners.append(self.updates.put_nowait)
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(LIMIT_S):
            await self.updates.get()
            relay.silence()
            while relay.accepted < 2:
                await self.updates.get()  # one may be under way
        self.assertTrue(view.holds_lease())

    async def test_control_call_is_repeated_on_a_new_connection(self):
        relay = await self.leader()
        finder = LeaderFinder([relay.address])
        control = ControlLink(finder, self.links, SystemClock(), random.Random(1))
        await control.propose(Accepted(), LIMIT_S)
        relay.silence()
        self.assertEqual(await control.propose(Accepted(), LIMIT_S), Accepted())
        self.assertEqual(relay.accepted, 2)

    async def test_members_call_each_other_on_a_new_connection(self):
        relay = await self.leader()
        transport = PeerTransport(self.links)
        await transport.hello(relay.address, 'main')
        relay.silence()
        with self.assertRaises(PeerUnreachableError):
            await transport.hello(relay.address, 'main')
        await transport.hello(relay.address, 'main')
        self.assertEqual(relay.accepted, 2)

    async def test_command_line_repeats_on_a_new_connection(self):
        async def answer(request):
            return web.json_response({'leads': True})

        application = web.Application()
        application.router.add_get('/v1/admin/status', answer)
        serving = await Serving.bind(application, '127.0.0.1:0')
        self.addAsyncCleanup(serving.close)
        relay = await self.relay(serving.address)
        patience = Patience(attempt_s=1, total_s=LIMIT_S)
        client = OperatorClient.from_addresses([relay.address], 'key', patience=patience)
        relay.muted = 1
        self.assertEqual(await client.request('GET', '/v1/admin/status'), {'leads': True})
        self.assertEqual(relay.accepted, 2)


if __name__ == '__main__':
    unittest.main()
