"""Guards what one entry sends to cold backend servers, and to those that have just turned warm."""

import collections
import logging
import random
import unittest

from geraniumrail.deployment.service import ServiceSpec
from geraniumrail.errors.backend import NoBackendError
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.choice import choose
from geraniumrail.routing.cold_backends import KEEP, RAMP_S, TOLD_S, ColdBackends
from geraniumrail.routing.request import PlainRequest
from geraniumrail.testing.followers import engine

SERVICES = (ServiceSpec(name='llm', cold_per_s=2),)
SERVER = engine('a', 1)
COLD_S = 3.0
ASKED = PlainRequest(request_id='r', service='llm', data_centre='', region='')


class ColdBackendsTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.cold = ColdBackends()
        self.cold.follow(SERVICES)

    def announce(self, sequence, cold_s, now):
        self.cold.observe(engine('a', 1, sequence=sequence, cold_s=cold_s), now)

    def sent(self, began, ended):
        """Returns how many requests may be sent in a time."""
        count = 0
        for step in range(int((ended - began) * 100)):
            now = began + step / 100
            if self.cold.is_open(SERVER, now):
                self.cold.take('a', now)
                count += 1
        return count

    def test_cold_server_without_a_rate_gets_nothing(self):
        """An entry that heard of a cold server first sent there before the leader gave rates."""
        self.announce(1, COLD_S, 10)
        self.assertEqual(self.sent(10, 12.9), 0)
        self.assertAlmostEqual(self.cold.opens_in_s(SERVER, 12), 1)
        self.assertTrue(self.cold.is_open(SERVER, 13.1))

    def test_service_without_cold_per_s_is_not_concerned(self):
        """A deployment without the field is served as before."""
        other = engine('b', 1, cold_s=COLD_S, service='desk')
        self.cold.observe(other, 10)
        self.cold.answered(other, COLD_S, 10)
        self.assertTrue(self.cold.is_open(other, 10))

    def test_rate_begins_with_nothing_saved(self):
        """A rate that follows one of an entry that has just ended added a whole request to it."""
        self.cold.take_rates({'a': 2}, 1, 14, 10)
        self.assertFalse(self.cold.is_open(SERVER, 10.4))
        self.assertAlmostEqual(self.cold.opens_in_s(SERVER, 10.4), 0.1)
        self.assertEqual(self.sent(10, 12.05), 4)

    def test_rate_ends_with_the_lease_of_its_leader(self):
        """A new leader gave rates while an entry that it had just heard from kept its old one."""
        self.announce(1, 60, 10)
        self.cold.take_rates({'a': 2}, 1, 14, 10)
        self.cold.take_rates(None, 1, 15, 11)
        self.cold.take_rates(None, 2, 99, 12)
        self.cold.take_rates({'a': KEEP}, 2, 99, 12)
        self.assertGreater(self.sent(12, 15), 0)
        self.assertEqual(self.sent(15, 30), 0)
        self.cold.take_rates({'a': 2}, 2, 99, 30)
        self.assertGreater(self.sent(30, 33), 0)

    def test_leader_names_a_server_that_has_not_announced_itself(self):
        """After an evacuation, only the leader knows that servers may be cold."""
        for rates in ({'a': 0}, {'a': KEEP}):
            with self.subTest(rates=rates):
                self.cold.take_rates(rates, 1, 99, 10)
                self.assertFalse(self.cold.is_open(SERVER, 20))
                self.assertEqual(self.cold.opens_in_s(SERVER, 20), TOLD_S)
        self.cold.take_rates({}, 1, 99, 21)
        self.assertTrue(self.cold.is_open(SERVER, 21))

    def test_late_announcements(self):
        """One that was late made a warm server cold, or the cold time short."""
        self.announce(5, COLD_S, 10)
        self.announce(4, 0, 11)
        self.assertTrue(self.cold.is_cold(SERVER, 12))
        self.announce(5, COLD_S, 12)
        self.assertFalse(self.cold.is_cold(SERVER, 13.1))
        self.announce(6, 0, 13.2)
        self.announce(7, COLD_S, 13.3)
        self.assertTrue(self.cold.is_cold(SERVER, 16.2))

    def test_answer_says_so_before_the_announcement(self):
        """An announcement may be seconds late; the leader was not told of the answer."""
        told = []
        self.cold.on_news = lambda: told.append(True)
        self.cold.answered(SERVER, 2, 10)
        self.cold.answered(SERVER, 1.9, 10.1)
        self.assertFalse(self.cold.is_open(SERVER, 11.9))
        self.assertEqual((self.cold.report(10.5), self.cold.report(10.5)), ({'a': 1.5}, {}))
        self.assertEqual(len(told), 1)
        self.cold.requeue_all(11)
        self.assertEqual(self.cold.report(11), {'a': 1})
        self.cold.requeue_all(13)
        self.assertEqual(self.cold.report(13), {})


class ChoiceTest(unittest.TestCase):
    def setUp(self):
        self.tracker = BackendTracker()
        self.tracker.cold.follow(SERVICES)
        self.servers = [engine(name, 1, sequence=1, lease_s=99) for name in 'abc']
        for server in self.servers:
            self.tracker.observe(server, 10)
        self.tracker.cold.observe(engine('a', 1, sequence=1, cold_s=COLD_S), 10)
        self.rng = random.Random(4)

    def shares(self, now, count=400):
        """Returns the shares of the servers in requests that are each answered at once."""
        chosen = collections.Counter(
            choose(self.servers, ASKED, self.tracker, self.rng, now).backend.instance
            for _ in range(count)
        )
        return {name: chosen[name] / count for name in 'abc'}

    def test_server_that_turns_warm_is_eased_in(self):
        """It looked idle to all entries, and all of them sent there."""
        for name in 'bc':
            for _ in range(9):
                self.tracker.record_sent(name, 1, (), 13)
        self.assertEqual(self.shares(12)['a'], 0)
        shares = [self.shares(13 + RAMP_S * part)['a'] for part in (0.01, 0.5, 1)]
        self.assertLess(shares[0], 0.15)
        self.assertLess(shares[1], 0.6)
        self.assertGreater(shares[2], 0.95)

    def test_cold_server_with_a_rate_is_used(self):
        """Cold servers stayed idle beside idle warm ones, so that these did the work of all."""
        self.tracker.cold.take_rates({'a': 2}, 1, 99, 10)
        self.assertGreater(self.shares(11)['a'], 0.1)

    def test_only_server_is_cold(self):
        """The caller is refused at once, with the time until the server takes a request."""
        del self.servers[1:]
        self.tracker.cold.take_rates({'a': 2}, 1, 99, 10)
        with self.assertRaises(NoBackendError):
            self.shares(10.1)
        self.assertAlmostEqual(self.tracker.opens_in_s(self.servers, 10.1), 0.4)


if __name__ == '__main__':
    unittest.main()
