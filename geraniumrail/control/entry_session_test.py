"""Guards what one change of the configuration costs on the way to the entries."""

import random
import string
import unittest

from geraniumrail.control.backend_registry import BackendRegistry
from geraniumrail.control.entry_leases import EntryLeases
from geraniumrail.control.entry_session import EntrySession
from geraniumrail.control.usage_shares import UsageShares
from geraniumrail.core import codec
from geraniumrail.core.manual_clock import ManualClock
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.route import Route
from geraniumrail.deployment.service import ServiceSpec
from geraniumrail.deployment.share import Share
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.links.messages import EntryInfo, EntryReport
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.state.tables import Tables

INFO = EntryInfo(entry='e', instance='e', address='', peer_address='', data_centre='', region='')
ROUTES = 1440
# The narrowest link of an entry, and the shortest time between two changes in quick succession.
LINK_BYTES_PER_S = 3.75e6 / 8
CHANGE_INTERVAL_S = 0.33


def word(rng):
    return ''.join(rng.choices(string.ascii_lowercase + string.digits, k=7))


def large_deployment(version):
    rng = random.Random(1)
    services = tuple(ServiceSpec(name=word(rng)) for _ in range(3))
    routes = tuple(
        Route(
            name=f'r-{word(rng)}',
            host=f'{word(rng)}.example',
            prefix=f'/{word(rng)}/{word(rng)}/',
            kind='stream',
            shares=(Share(service=rng.choice(services).name, weight=1),),
            timeout_s=4,
            attempts=2,
        )
        for _ in range(ROUTES)
    )
    return Deployment(version=version, routes=routes, services=services, source=bytes(100_000))


class EntrySessionTest(unittest.TestCase):
    def update(self, **report):
        """Returns the first update of an entry, under a large configuration."""
        tables = Tables(deployment=large_deployment(7))
        session = EntrySession(EntryReport(sequence=1, info=INFO, **report), 1)
        return session.build_update(tables, BackendRegistry(), EntryLeases(), UsageShares())

    def test_changes_in_quick_succession_fit_on_the_link_of_an_entry(self):
        """Each change of a configuration with many routes took 0.85 s to reach 83 entries, and up
        to 1.9 s in quick succession, of 2.5 s after which no entry may serve by the earlier one."""
        encoded = codec.encode(self.update(takes_packed=True))
        self.assertLess(len(encoded), LINK_BYTES_PER_S * CHANGE_INTERVAL_S)

    def test_entry_takes_the_whole_configuration(self):
        """An entry of an earlier build does not read what is packed; it would go on serving by the
        configuration that it has."""
        for report in ({}, {'takes_packed': True}):
            with self.subTest(report=report):
                view = ClusterView(ManualClock(), BackendTracker())
                view.take(codec.decode(codec.encode(self.update(**report))), 0)
                self.assertEqual(view.table.version, 7)
                routes = large_deployment(7).routes
                for each in (routes[0], routes[-1]):
                    self.assertEqual(view.table.route(each.host, each.prefix), each)
