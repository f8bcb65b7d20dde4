"""Guards mutual TLS of the links: a daemon without a certificate of the authority is refused."""

import pathlib
import tempfile
import unittest

import trustme

from geraniumrail.errors.link import LinkError
from geraniumrail.links.client import LinkClient
from geraniumrail.links.messages import Accepted, LeavingNotice
from geraniumrail.links.server import LinkServer
from geraniumrail.links.tls import LinkTls

LIMIT_S = 20
NOTICE = LeavingNotice(backends=())


def write_files(folder, name, authority):
    """Writes the files of one daemon and returns their paths."""
    issued = authority.issue_cert('127.0.0.1')
    base = pathlib.Path(folder) / name
    issued.private_key_pem.write_to_path(f'{base}.key')
    issued.cert_chain_pems[0].write_to_path(f'{base}.pem')
    authority.cert_pem.write_to_path(f'{base}.ca')
    return LinkTls(certificate=f'{base}.pem', key=f'{base}.key', authority=f'{base}.ca')


class LinkTlsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        authority = trustme.CA()
        self.own = write_files(folder, 'own', authority)
        self.peer = write_files(folder, 'peer', authority)
        self.stranger = write_files(folder, 'stranger', trustme.CA())
        self.server = LinkServer('127.0.0.1:0', self.own)
        self.server.register(LeavingNotice, self.accept)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def accept(self, notice):
        return Accepted()

    async def call(self, tls):
        client = LinkClient(self.server.address, tls)
        try:
            return await client.call(NOTICE, LIMIT_S)
        finally:
            await client.close()

    async def test_peer_of_the_authority_is_answered(self):
        self.assertEqual(await self.call(self.peer), Accepted())

    async def test_peer_of_another_authority_is_refused(self):
        with self.assertRaises(LinkError):
            await self.call(self.stranger)

    async def test_plain_text_is_refused(self):
        with self.assertRaises(LinkError):
            await self.call(None)


if __name__ == '__main__':
    unittest.main()
