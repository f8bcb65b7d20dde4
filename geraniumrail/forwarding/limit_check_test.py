"""Guards what callers are told when the leader lends, refuses or is not there."""

import dataclasses
import unittest

from geraniumrail.errors.link import LinkError
from geraniumrail.fairness.quota import Quota
from geraniumrail.forwarding.forwarder import Forwarder
from geraniumrail.forwarding.testing import Reply, StandIn, head, inbound, make_forwarder, route
from geraniumrail.links.requests import LimitTaken

OK = [head('req-1', body=b'found')]
LIMIT = {'rate_per_s': 100, 'burst': 100, 'in_tokens': True, 'plain_tokens': 60}


class FakeLender:
    """Answers all questions alike."""

    def __init__(self, wait_s):
        self.wait_s = wait_s
        self.costs = []
        self.questions = []

    async def borrow(self, question, limit_s, without_leader):
        self.costs.append(question.cost)
        self.questions.append(question)
        if isinstance(self.wait_s, LimitTaken):
            return self.wait_s
        if self.wait_s is None:
            raise LinkError(address='', reason='no leader lends')
        return LimitTaken(wait_s=self.wait_s)


class LimitCheckTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = await StandIn('i-1', *(OK for _ in range(4))).start()
        self.addAsyncCleanup(self.server.stop)

    async def serve(self, wait_s, times=1):
        plain = make_forwarder([route()], [self.server.backend()], **LIMIT)
        self.lender = FakeLender(wait_s)
        parts = dataclasses.replace(
            plain.parts, quota=Quota(started_at=plain.parts.clock.now(), has_central_buckets=True)
        )
        parts = dataclasses.replace(parts, lender=self.lender)
        forwarder = Forwarder(parts)
        self.addAsyncCleanup(parts.connections.close)
        replies = []
        for _ in range(times):
            reply = Reply()
            await forwarder.serve(inbound(parts.clock), reply)
            replies.append(reply)
        return replies

    async def test_what_the_entry_lacks_is_lent(self):
        (reply,) = await self.serve(0)
        self.assertEqual((reply.status, reply.content), (200, b'found'))
        self.assertEqual(len(self.lender.costs), 1)
        self.assertLess(self.lender.costs[0], 60)

    async def test_refusal_names_when_to_come_back_and_nothing_ran(self):
        (reply,) = await self.serve(0.4)
        self.assertEqual(reply.status, 429)
        self.assertGreater(reply.error.fields['retry_after_s'], 0.1)
        self.assertEqual(self.server.requests, [])

    async def test_refused_organisation_is_not_asked_for_again_at_once(self):
        replies = await self.serve(0.4, times=3)
        self.assertEqual([reply.status for reply in replies], [429] * 3)
        self.assertEqual(len(self.lender.costs), 1)

    async def test_no_leader(self):
        """An entry that can't tell whether the limit is exceeded does not say that it is."""
        (reply,) = await self.serve(None)
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.server.requests, [])

    async def test_what_could_not_be_completed_is_given_back(self):
        """Pattern: while there is no leader, long prompts used up the entry's own part, and short
        requests that fit into it were refused too."""
        plain = make_forwarder([route()], [self.server.backend()], **LIMIT)
        now = plain.parts.clock.now()
        quota = Quota(started_at=now, has_central_buckets=True)
        parts = dataclasses.replace(plain.parts, quota=quota, lender=FakeLender(None))
        self.addAsyncCleanup(parts.connections.close)
        holder = parts.view.table.organisation('key-1')
        quota.claim(holder, 0, now)
        before = quota.left(holder.name)
        self.assertGreater(before, 1)
        for _ in range(5):
            await Forwarder(parts).serve(inbound(parts.clock), Reply())
        self.assertGreaterEqual(quota.left(holder.name), before)

    async def test_scarce_limit(self):
        """Callers were told a few ms and came back at once, to be rejected again. A large request
        leaves the entry's own part to small ones, and is told when its turn is likely."""
        plain = make_forwarder([route()], [self.server.backend()], **LIMIT)
        now = plain.parts.clock.now()
        quota = Quota(started_at=now, has_central_buckets=True)
        answer = LimitTaken(wait_s=0.01, retry_after_s=9, mean=50)
        lender = FakeLender(answer)
        parts = dataclasses.replace(plain.parts, quota=quota, lender=lender)
        self.addAsyncCleanup(parts.connections.close)
        holder = parts.view.table.organisation('key-1')
        quota.scarce.note(holder.name, 50, now)
        left = quota.left(holder.name)
        replies = [Reply(), Reply()]
        for reply in replies:
            await Forwarder(parts).serve(inbound(parts.clock, deadline_s=6), reply)
            retry_s = reply.error.fields['retry_after_s']
            self.assertTrue(1 < retry_s <= 2, retry_s)
        self.assertEqual([question.size for question in lender.questions], [60])
        self.assertEqual(lender.questions[0].cost, 60)
        reasons = {reason for _, reason in quota.scarce.rejected}
        self.assertEqual(reasons, {'reserved', 'local'})
        self.assertGreaterEqual(quota.left(holder.name), left)


if __name__ == '__main__':
    unittest.main()
