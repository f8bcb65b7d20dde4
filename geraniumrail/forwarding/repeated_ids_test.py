"""Guards requests that come to an address again against copies of the answers they had there."""

import asyncio
import dataclasses
import logging
import unittest

from geraniumrail.backends.guarded_handler import MAX_REQUESTS
from geraniumrail.forwarding import testing
from geraniumrail.forwarding.testing import CopyingStandIn, chunk, event, head

LIMIT_S = 20
SAVED_RETRIES = 10  # more than one request takes
END = b'0\r\n\r\n'


def refusal(request_id):
    return head(request_id, '503 Full', b'', 'X-Not-Run: 1\r\n')


def misdirected(request_id):
    return head(request_id, '421 Misdirected', b'')


def failure(request_id):
    return head(request_id, '500 Oops', b'no')


def cut_stream(request_id):
    """Ends whole as an answer, but within an event."""
    return head(request_id) + chunk(event(1) + event(2)[:-3]) + END


class RepeatedIdTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def started(self, *scripts, instance='i-1'):
        stand = await CopyingStandIn(instance, *scripts).start()
        self.addAsyncCleanup(stand.stop)
        return stand

    def make_forwarder(self, *stands, ids_each=2, **route):
        """Each address is announced under several ids, as after a late heartbeat."""
        backends = [
            dataclasses.replace(stand.backend(), instance=f'{stand.instance}-{number}')
            for stand in stands
            for number in range(ids_each)
        ]
        fields = {'kind': 'unsafe', 'attempts': 4, **route}
        forwarder = testing.make_forwarder([testing.route(**fields)], backends)
        self.addAsyncCleanup(forwarder.parts.connections.close)
        # Repeats are a share of the requests; as many as an entry has saved that was busy before.
        now = forwarder.parts.clock.now()
        forwarder.parts.retries.record_request(testing.SERVICE, SAVED_RETRIES, now)
        return forwarder

    async def serve(self, forwarder, request_id='req-1'):
        reply = testing.Reply()
        request = testing.inbound(forwarder.parts.clock, request_id=request_id)
        async with asyncio.timeout(LIMIT_S):
            await forwarder.serve(request, reply)
        return reply

    def assert_ran_once(self, stands, replies):
        statuses = [reply.status for reply in replies]
        runs = sum(len(stand.runs) for stand in stands)
        copies = sum(stand.copies for stand in stands)
        self.assertEqual(
            {'statuses': statuses, 'runs': runs, 'copies': copies},
            {'statuses': [200] * len(replies), 'runs': len(replies), 'copies': 0},
        )

    async def test_copy_of_a_refusal_does_not_answer_the_next_attempt(self):
        """A booking was refused, went to the new start of the server over the same connection, and
        its caller was told 503 while the server ran it (REFUSED)."""
        for answer in (refusal, misdirected):
            with self.subTest(answer=answer.__name__):
                stand = await self.started([answer])
                reply = await self.serve(self.make_forwarder(stand))
                self.assert_ran_once([stand], [reply])

    async def test_copy_of_a_refusal_does_not_send_a_running_request_elsewhere(self):
        """The booking ran behind the copy and was sent to another server, which ran it as well
        (TWICE)."""
        for answers in ((refusal,), (misdirected,), (refusal, misdirected)):
            with self.subTest(answers=[answer.__name__ for answer in answers]):
                stands = [await self.started(list(answers[:1]), list(answers[-1:]))]
                stands.append(
                    await self.started(list(answers[:1]), list(answers[-1:]), instance='i-2')
                )
                forwarder = self.make_forwarder(*stands, ids_each=3, attempts=6)
                self.assert_ran_once(stands, [await self.serve(forwarder)])

    async def test_copy_of_a_refusal_does_not_answer_the_last_attempt(self):
        """The copy came at the last attempt, and became a 503 of the entry."""
        stand = await self.started([refusal])
        reply = await self.serve(self.make_forwarder(stand, attempts=2))
        self.assert_ran_once([stand], [reply])

    async def test_repeat_uses_another_idle_connection(self):
        """Each request that came again must not cost a connection that others need."""
        stand = await self.started()
        forwarder = self.make_forwarder(stand)
        warm = [self.serve(forwarder, f'warm-{number}') for number in range(4)]
        await asyncio.gather(*warm)
        opened = stand.connections
        stand.scripts.append([refusal])
        reply = await self.serve(forwarder)
        self.assertEqual((reply.status, stand.copies), (200, 0))
        self.assertEqual(stand.connections, max(opened, 2))

    async def test_refused_requests_share_a_connection(self):
        """A full server refuses many requests, and must not get a new connection for each."""
        stand = await self.started(*([refusal] for _ in range(50)))
        forwarder = self.make_forwarder(stand, ids_each=1, attempts=1)
        statuses = [(await self.serve(forwarder, f'req-{each}')).status for each in range(60)]
        self.assertEqual((statuses.count(503), statuses.count(200)), (50, 10))
        self.assertEqual(stand.connections, 1)

    async def test_connection_that_has_carried_many_requests_is_replaced(self):
        """It remembers the id of each; forgetting one would let it come again."""
        stand = await self.started()
        forwarder = self.make_forwarder(stand, ids_each=1)
        for number in range(MAX_REQUESTS + 1):
            self.assertEqual((await self.serve(forwarder, f'req-{number}')).status, 200)
        self.assertEqual(stand.connections, 2)

    async def test_copy_does_not_answer_a_caller_that_sends_an_id_again(self):
        """Another run of the same id met the refusal that the first run had got."""
        for answer, status in ((refusal, 503), (failure, 500)):
            with self.subTest(answer=answer.__name__):
                stand = await self.started([answer])
                forwarder = self.make_forwarder(stand, ids_each=1, attempts=1)
                replies = [await self.serve(forwarder) for _ in range(2)]
                self.assertEqual([reply.status for reply in replies], [status, 200])
                self.assertEqual((stand.copies, stand.runs), (0, ['req-1']))

    async def test_copy_does_not_answer_one_id_on_two_connections_of_a_caller(self):
        """Two runs at once: each may get the connection on which the other was refused."""
        stand = await self.started([refusal], [refusal])
        forwarder = self.make_forwarder(stand, ids_each=3)
        replies = await asyncio.gather(*(self.serve(forwarder) for _ in range(2)))
        self.assert_ran_once([stand], replies)

    async def test_answer_that_repeats_a_long_id_is_read(self):
        """The entry took longer header lines of callers than of servers: a request ran, and its
        caller was told 502."""
        stand = await self.started()
        forwarder = self.make_forwarder(stand, ids_each=1)
        reply = await self.serve(forwarder, 'x' * 15000)
        self.assert_ran_once([stand], [reply])

    async def test_copy_of_a_failure_does_not_end_a_repeatable_request(self):
        """The server ran on while the request went elsewhere: two engines worked on one stream."""
        for kind in ({'kind': 'safe'}, {'kind': 'stream', 'resumable': True, 'gap_s': 5.0}):
            with self.subTest(**kind):
                stands = [await self.started([failure], [failure])]
                stands.append(await self.started([failure], [failure], instance='i-2'))
                forwarder = self.make_forwarder(*stands, ids_each=3, attempts=6, **kind)
                await self.serve(forwarder)
                self.assertEqual([stand.copies for stand in stands], [0, 0])
                self.assertEqual(sum(len(stand.runs) for stand in stands), 1)

    async def test_copy_of_a_stream_does_not_resume_it(self):
        """The answer had come whole, so its connection was kept, but the stream went on."""
        rest = head('req-1') + chunk(event(2)) + END
        stand = await self.started([cut_stream], [rest])
        forwarder = self.make_forwarder(stand, kind='stream', resumable=True, gap_s=5.0)
        reply = await self.serve(forwarder)
        self.assertEqual((reply.content, reply.ended), (event(1) + event(2), 'whole'))
        self.assertEqual((stand.copies, stand.connections), (0, 2))


if __name__ == '__main__':
    unittest.main()
