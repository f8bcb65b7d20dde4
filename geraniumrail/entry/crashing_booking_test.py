"""Guards plain services against bookings that crash them one after the other."""

import asyncio
import logging
import random
import unittest

from geraniumrail.core import codec
from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import SystemClock
from geraniumrail.entry.booking_run import BookingRun
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.outcomes import Outcomes
from geraniumrail.errors.backend import ConnectionLostError
from geraniumrail.quarantine.fingerprint import fingerprint_of
from geraniumrail.quarantine.part_watch import PartWatch
from geraniumrail.quarantine.quarantine import Quarantine
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.state import booking as phases
from geraniumrail.state import commands
from geraniumrail.state.booking_key import BookingKey
from geraniumrail.state.machine import Machine
from geraniumrail.state.stored_call import StoredCall

SERVICE = 'repair-desk'
CALL = StoredCall(method='POST', path='/bookings', route='bookings', body=b'deadly')
FINGERPRINT = fingerprint_of('salon-a', 'POST', '/bookings', b'deadly')


class CrashingBookingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.clock = SystemClock()
        self.machine = Machine()
        self.sent = []
        self.watch = PartWatch(self.clock, self.refuses_connections)
        self.view = ClusterView(self.clock, BackendTracker())
        self.view.observe(
            [
                Backend(
                    instance='s-1',
                    service=SERVICE,
                    address='127.0.0.1:1',
                    data_centre='',
                    region='',
                    version='v1',
                    lease_s=600,
                )
            ]
        )
        self.view.holds_lease = lambda: True

    async def refuses_connections(self, backend):
        return True

    async def propose(self, command, limit_s=0):
        """Takes the place of the control link."""
        applied = self.machine.apply(self.machine.applied + 1, codec.encode(command))
        return codec.decode(applied)

    async def send(self, backend, call):
        """Takes the place of the client: the server ends."""
        self.sent.append(backend.instance)
        raise ConnectionLostError(backend=backend.instance, reason='reset')

    async def drive(self, key):
        """Carries a booking to its end."""
        claim = commands.ClaimBooking(
            key=BookingKey(organisation='salon-a', service=SERVICE, key=key),
            body_digest='d',
            call=CALL,
            owner='entry-1',
            at=0,
        )
        claimed = await self.propose(claim)
        outcomes = Outcomes(self.view, self.clock)
        run = BookingRun(
            'entry-1', self.view, outcomes, self.watch, self, self, self.clock, random.Random(1)
        )
        return await run.drive(claimed.booking)

    async def test_crash_is_noted(self):
        """Nothing was remembered of a booking that had crashed its server; the same call under
        another key crashed the next one."""
        booking = await self.drive('k-1')
        self.assertEqual(booking.phase, phases.OUTCOME_UNKNOWN)
        tasks = [task for task in asyncio.all_tasks() if task.get_name() == 'crash-probe']
        await asyncio.gather(*tasks)
        crashes, _ = self.watch.report()
        self.assertEqual([note.requests for note in crashes], [((FINGERPRINT,),)])

    async def test_quarantined_booking_is_not_sent(self):
        """Pattern: the log says that it did not run, so the same key may be sent again later."""
        held = Quarantine(service=SERVICE, parts=(FINGERPRINT,), since=0, until=1e12)
        self.watch.take((held,), None, ())
        booking = await self.drive('k-1')
        self.assertEqual((booking.phase, self.sent), (phases.NOT_RUN, []))


if __name__ == '__main__':
    unittest.main()
