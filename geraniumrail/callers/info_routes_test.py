"""Guards entries against announcements that they can't use or relay."""

import json
import logging
import unittest
from unittest import mock

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from geraniumrail.callers import info_routes
from geraniumrail.callers.bodies import BODY_TIMEOUT_S
from geraniumrail.callers.failures import answer_failures
from geraniumrail.callers.info_routes import InfoRoutes
from geraniumrail.core import codec
from geraniumrail.links.messages import EntryInfo, EntryReport

LIMIT_S = 20
INFO = EntryInfo(entry='e', instance='e', address='', peer_address='', data_centre='', region='')
ANNOUNCEMENT = {
    'instance': 'i-1',
    'service': 'model-bench',
    'address': '10.0.0.1:80',
    'data_centre': 'cheras',
    'region': 'klang-valley',
    'version': 'v1',
    'sequence': 1,
}
DEEP = '[' * 100_000 + ']' * 100_000
HUGE = 10**30


def announcement(**changes):
    return json.dumps({**ANNOUNCEMENT, **changes})


ODD = {
    'nested deep': announcement()[:-1] + f', "x": {DEEP}}}',
    'sequence': announcement(sequence=HUGE),
    'incarnation': announcement(incarnation=HUGE),
    'load': announcement(load={'running': HUGE}),
    'cache event': announcement(cache_events=[{'sequence': HUGE, 'prefix': 'p', 'added': True}]),
    'port': announcement(address='10.0.0.1:99999'),
    'port of other digits': announcement(address='10.0.0.1:²'),
    'no bytes': '',
}


class AnnounceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        # Who announces is checked elsewhere.
        self.enterContext(mock.patch.object(info_routes, 'owner_of'))
        self.taken = []
        application = web.Application(middlewares=[answer_failures])
        application[BODY_TIMEOUT_S] = LIMIT_S
        application.add_routes(InfoRoutes(self).routes())
        self.client = TestClient(TestServer(application))
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    def announce(self, backend):
        self.taken.append(backend)
        return 1

    async def test_odd_announcement_is_refused(self):
        """One with a number of more than 64 bits was taken; the entry could not encode its reports
        to control any more, lost its lease and stopped serving."""
        for name, body in ODD.items():
            with self.subTest(name):
                answer = await self.client.post('/v1/announce', data=body)
                self.assertEqual(answer.status, 400)
        self.assertEqual(self.taken, [])

    async def test_announcement_that_is_taken_can_be_relayed(self):
        """Whatever is taken must pass the link to control."""
        largest = announcement(sequence=2**64 - 1, incarnation=2**63 - 1, load={'running': 2**63})
        for body in (announcement(), largest):
            answer = await self.client.post('/v1/announce', data=body)
            self.assertEqual(answer.status, 200)
        report = EntryReport(sequence=1, info=INFO, announces=tuple(self.taken))
        self.assertEqual(codec.decode(codec.encode(report)), report)


if __name__ == '__main__':
    unittest.main()
