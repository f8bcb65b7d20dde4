"""Guards callers of the links against the loss of a connection that others use as well."""

import asyncio
import unittest

from geraniumrail.errors.link import LinkError
from geraniumrail.links.client import LinkClient
from geraniumrail.links.messages import Accepted, LeavingNotice
from geraniumrail.links.server import LinkServer


class LinkClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.arrived = asyncio.Event()
        self.server = LinkServer('127.0.0.1:0')
        self.server.register(LeavingNotice, self.wait_for_ever)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.client = LinkClient(self.server.address)
        self.addAsyncCleanup(self.client.close)

    async def wait_for_ever(self, request):
        self.arrived.set()
        await asyncio.Event().wait()
        return Accepted()

    async def test_replaced_connection_does_not_cancel_other_callers(self):
        """A cancelled task of the replica ended its elections without a trace."""
        slow = asyncio.create_task(self.client.call(LeavingNotice(backends=()), 60))
        await asyncio.wait_for(self.arrived.wait(), 20)
        with self.assertRaises(LinkError):
            await self.client.call(LeavingNotice(backends=()), 0.1)
        with self.assertRaises(LinkError):
            await asyncio.wait_for(slow, 20)

    async def test_cancelled_caller_is_cancelled(self):
        """A stopping daemon must be able to end its calls."""
        call = asyncio.create_task(self.client.call(LeavingNotice(backends=()), 60))
        await asyncio.wait_for(self.arrived.wait(), 20)
        call.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await asyncio.wait_for(call, 20)


if __name__ == '__main__':
    unittest.main()
