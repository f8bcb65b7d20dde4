"""Tests of the gauges."""

import collections
import unittest
from unittest import mock

from geraniumrail.backends.answer_budget import NO_ROOM, AnswerBudget
from geraniumrail.callers.client_limits import HEAD, ClientLimits
from geraniumrail.callers.head_budget import HeldHead
from geraniumrail.daemon.gauges import Gauges
from geraniumrail.deployment.service import ServiceSpec
from geraniumrail.routing.cold_backends import ColdBackends
from geraniumrail.testing.followers import engine


class GaugesTest(unittest.TestCase):
    def test_answers_that_were_broken_off_are_counted_once(self):
        """Nothing showed that an entry had stopped reading answers for their size."""
        instruments = mock.Mock()
        gauges = Gauges(instruments, None, None)
        budget = AnswerBudget(100)
        hold = budget.hold('127.0.0.1:80', mock.Mock())
        hold.add(60)
        for _ in range(2):
            budget.note_broken_off(NO_ROOM, '127.0.0.1:80', 1)
        for _ in range(2):
            gauges.show_answers(budget)
        instruments.held_answer_bytes.set.assert_called_with(60)
        instruments.answers_broken_off.add.assert_called_once_with(2, NO_ROOM)

    def test_cold_backend_servers_are_shown(self):
        """Nothing showed why an entry sent nothing to servers that were in service."""
        instruments = mock.Mock()
        cold = ColdBackends()
        cold.follow([ServiceSpec(name='llm', cold_per_s=1)])
        backends = [engine('a', 1, cold_s=3), engine('b', 1), engine('c', 1, cold_s=3, service='d')]
        for backend in backends:
            cold.observe(backend, 10)
        Gauges(instruments, None, None).show_cold(cold, backends, 12)
        instruments.cold_backends.replace.assert_called_once_with({('llm',): 1})

    def test_limit_rejections_are_counted_once(self):
        """Nothing showed whether requests were rejected by the reserve or without a leader."""
        instruments = mock.Mock()
        gauges = Gauges(instruments, None, None)
        rejected = collections.Counter({('salon', 'reserved'): 3})
        for _ in range(2):
            gauges.count_limit_rejections(rejected)
        instruments.limit_rejections.add.assert_called_once_with(3, 'salon', 'reserved')

    def test_clients_that_were_refused_are_counted_once(self):
        """Nothing showed that clients outside the limits were refused, nor what they hold."""
        instruments = mock.Mock()
        gauges = Gauges(instruments, None, None)
        clients = ClientLimits.from_machine(160, 1638)
        clients.heads.update(HeldHead('127.0.0.1', mock.Mock()), 60)
        clients.note_refused(HEAD, '127.0.0.1', 1)
        for _ in range(2):
            gauges.show_clients(clients)
        instruments.held_head_bytes.set.assert_called_with(60)
        instruments.client_connections.set.assert_called_with(0)
        instruments.clients_refused.add.assert_called_once_with(1, HEAD)


if __name__ == '__main__':
    unittest.main()
