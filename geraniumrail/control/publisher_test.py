"""Guards entries against a stream that outlives the leadership that opened it."""

import types
import unittest

from geraniumrail.control.publisher import Publisher
from geraniumrail.core.manual_clock import ManualClock
from geraniumrail.errors.consensus import NotLeaderError
from geraniumrail.links.messages import EntryInfo, EntryReport
from geraniumrail.state.machine import Machine


class PublisherTest(unittest.IsolatedAsyncioTestCase):
    async def test_stream_ends_with_its_leadership(self):
        """A later leadership sent differences against a registry that the entry never got."""
        term = [1]
        leadership = types.SimpleNamespace(require=lambda: term[0])
        publisher = Publisher(Machine(), leadership, ManualClock())
        info = EntryInfo(
            entry='e', instance='e', address='', peer_address='', data_centre='', region=''
        )

        async def reports():
            yield EntryReport(sequence=1, info=info)
            term[0] = 2
            yield EntryReport(sequence=2, info=info)

        updates = publisher.follow(reports())
        with self.assertRaises(NotLeaderError):
            async for update in updates:
                self.assertEqual(update.term, 1)


if __name__ == '__main__':
    unittest.main()
