"""Guards operator requests: each ends with the true outcome whichever member fails."""

import asyncio
import random
import socket
import unittest

from aiohttp import web

from geraniumrail.commands.operator_client import OperatorClient, Patience
from geraniumrail.errors import operator as errors

# Longer than any test may take; a wait that ends by this limit is a failure.
GENEROUS_S = 60


class SkippingClock:
    """Time passes only in `sleep`, at once."""

    def __init__(self):
        self.elapsed = 0.0
        self.delays = []

    def now(self):
        return self.elapsed

    wall = now

    async def sleep(self, seconds):
        self.delays.append(seconds)
        self.elapsed += seconds
        await asyncio.sleep(0)


def refusal(status, error_type, **fields):
    body = {'error': {'type': error_type, 'message': f'{error_type} here', **fields}}
    return lambda: web.json_response(body, status=status)


def done():
    return web.json_response({'revision': 3})


class Member:
    """A control member that gives the listed answers; the last one repeats."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.bodies = []
        self.headers = []

    async def start(self, test):
        app = web.Application()
        app.router.add_route('*', '/v1/admin/settings', self.handle)
        runner = web.AppRunner(app, handler_cancellation=True)
        await runner.setup()
        test.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, '127.0.0.1', 0, shutdown_timeout=0)
        await site.start()
        host, port = runner.addresses[0]
        self.address = f'{host}:{port}'

    async def handle(self, request):
        self.bodies.append(await request.read())
        self.headers.append(request.headers)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer == 'silent':
            await asyncio.Event().wait()
        if answer == 'cut':
            request.transport.abort()
            return web.Response()
        return answer()


class OperatorClientTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = SkippingClock()

    def down(self):
        # Bound but not listening: connections are refused and nobody else gets the port.
        holder = socket.socket()
        self.addCleanup(holder.close)
        holder.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{holder.getsockname()[1]}'

    async def client(self, *members, attempt_s=GENEROUS_S):
        for member in members:
            if isinstance(member, Member):
                await member.start(self)
        return OperatorClient.from_addresses(
            [member.address if isinstance(member, Member) else member for member in members],
            'secret',
            patience=Patience(attempt_s=attempt_s, total_s=GENEROUS_S),
            clock=self.clock,
            rng=random.Random(7),
        )

    async def put(self, client):
        body = {'change_id': 'c1'}
        return await asyncio.wait_for(client.request('PUT', '/v1/admin/settings', body), GENEROUS_S)

    async def test_next_member_takes_over_and_stays_first(self):
        good, spare = Member(done), Member(done)
        client = await self.client(self.down(), good, spare)
        self.assertEqual(await self.put(client), {'revision': 3})
        await self.put(client)
        self.assertEqual((len(good.bodies), len(spare.bodies), self.clock.delays), (2, 0, []))
        self.assertEqual(good.headers[0]['Authorization'], 'Bearer secret')

    async def test_leader_that_is_named_is_tried_next(self):
        follower, other, leader = Member(), Member(done), Member(done)
        client = await self.client(follower, other, leader)
        follower.answers = [refusal(503, 'not_leader', leader=leader.address)]
        await self.put(client)
        self.assertEqual((len(leader.bodies), len(other.bodies)), (1, 0))

    async def test_members_that_name_each_other_do_not_hide_the_leader(self):
        first, second, leader = Member(), Member(), Member(done)
        client = await self.client(first, second, leader)
        first.answers = [refusal(503, 'not_leader', leader=second.address)]
        second.answers = [refusal(503, 'not_leader', leader=first.address)]
        await self.put(client)
        self.assertEqual((len(first.bodies), len(second.bodies)), (1, 1))

    async def test_silent_member_is_left_and_the_same_body_is_sent_again(self):
        silent, good = Member('silent'), Member(done)
        client = await self.client(silent, good, attempt_s=0.5)
        self.assertEqual(await self.put(client), {'revision': 3})
        self.assertEqual(set(silent.bodies + good.bodies), {b'{"change_id": "c1"}'})

    async def test_delays_grow_with_jitter_until_the_deadline(self):
        client = await self.client(Member(refusal(503, 'no_quorum')), self.down())
        with self.assertRaises(errors.ControlUnreachableError):
            await self.put(client)
        for number, delay in enumerate(self.clock.delays):
            full = min(2, 0.1 * 2**number)
            self.assertTrue(full / 2 <= delay <= full, (number, delay))
        self.assertGreaterEqual(self.clock.elapsed, GENEROUS_S)
        self.assertLess(self.clock.elapsed, GENEROUS_S + 2)

    async def test_lost_answer_of_a_change_is_never_reported_as_not_done(self):
        for answer in (
            'cut',
            refusal(503, 'proposal_lost'),
            refusal(500, 'internal_error'),
            lambda: web.Response(text='<html>', status=502),
            lambda: web.Response(text='[]'),
        ):
            # The members answer with 401 afterwards, which tells nothing about the first attempt.
            client = await self.client(Member(answer, refusal(401, 'unauthorized')), self.down())
            with self.assertRaises(errors.OperatorOutcomeUnknownError):
                await self.put(client)

    async def test_http_library_does_not_resend_on_its_own(self):
        # aiohttp repeats a PUT whose connection was lost; an outcome of the first would be hidden.
        member = Member('cut', done)
        client = await self.client(member)
        await self.put(client)
        self.assertEqual(len(self.clock.delays), 1)

    async def test_lost_answer_of_a_query_changes_nothing(self):
        client = await self.client(Member('cut'))
        with self.assertRaises(errors.ControlUnreachableError):
            await client.request('GET', '/v1/admin/settings')

    async def test_refusals_are_final(self):
        winner = {'winner': 'c0', 'version': 4}
        cases = (
            (refusal(409, 'version_conflict', **winner), errors.AnswerConflictError),
            (refusal(400, 'unknown_setting'), errors.AnswerRefusedError),
            (refusal(401, 'unauthorized'), errors.AnswerRefusedError),
            (lambda: web.Response(text='404: Not Found', status=404), errors.AnswerRefusedError),
        )
        for answer, error in cases:
            member, spare = Member(answer), Member(done)
            client = await self.client(member, spare)
            with self.assertRaises(error) as caught:
                await self.put(client)
            self.assertIs(type(caught.exception), error)
            self.assertEqual((len(member.bodies), len(spare.bodies)), (1, 0))
            if error is errors.AnswerConflictError:
                body = caught.exception.to_body()['error']
                self.assertEqual(body | winner, body)
                self.assertEqual(body['type'], 'version_conflict')

    async def test_conflict_after_a_lost_answer_is_final(self):
        client = await self.client(Member('cut', refusal(409, 'version_conflict')))
        with self.assertRaises(errors.AnswerConflictError):
            await self.put(client)

    async def test_uncreated_group_ends_after_one_round(self):
        client = await self.client(
            Member(refusal(503, 'no_group')), Member(refusal(503, 'no_group'))
        )
        with self.assertRaises(errors.AnswerRefusedError):
            await self.put(client)
        self.assertEqual(self.clock.delays, [])

    async def test_key_is_not_sent_where_a_redirect_points(self):
        trap = Member(done)
        await trap.start(self)
        location = f'http://{trap.address}/v1/admin/settings'
        redirect = Member(lambda: web.Response(status=307, headers={'Location': location}))
        client = await self.client(redirect)
        with self.assertRaises(errors.OperatorOutcomeUnknownError):
            await self.put(client)
        self.assertEqual(trap.bodies, [])


if __name__ == '__main__':
    unittest.main()
