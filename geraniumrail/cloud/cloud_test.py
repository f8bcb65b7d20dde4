"""Guards the platform clients: refused starts and cut transfers must not look like successes."""

import asyncio
import contextlib
import unittest

import aiohttp

from geraniumrail.cloud.bounded_answer import MAX_ANSWER_BYTES
from geraniumrail.cloud.cloud_client import CloudClient
from geraniumrail.cloud.price import Price
from geraniumrail.cloud.weight_client import WeightClient
from geraniumrail.errors.cloud import (
    PlatformUnreachableError,
    RateLimitedError,
    StartRefusedError,
    WeightsIncompleteError,
)
from geraniumrail.standins import cloud, weights


class CloudClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        args = cloud.parser().parse_args(['--price', 'small,cheras,0.5,2'])
        self.serving = await cloud.Cloud(args).start()
        self.addAsyncCleanup(self.serving.close)
        self.client = CloudClient.from_url(f'http://{self.serving.address}', limit_s=20)
        self.addAsyncCleanup(self.client.close)

    async def fault(self, **fields):
        url = f'http://{self.serving.address}/faults'
        async with aiohttp.ClientSession() as session, session.post(url, json=fields) as answer:
            answer.raise_for_status()

    async def test_prices_are_typed(self):
        price = {'machine_class': 'small', 'data_centre': 'cheras'}
        expected = Price(**price, reclaimable_per_h=0.5, on_demand_per_h=2)
        self.assertEqual(await self.client.prices(), (expected,))

    async def test_refused_start_leaves_no_instance(self):
        await self.fault(refuse_data_centres=['cheras'])
        with self.assertRaises(StartRefusedError):
            await self.client.start('small', 'cheras', reclaimable=True)
        started = await self.client.start('small', 'petaling', reclaimable=True)
        self.assertEqual(await self.client.instances(), (started,))

    async def test_reclaim_wave_is_announced_once_and_spares_on_demand(self):
        cheap = await self.client.start('small', 'cheras', reclaimable=True)
        await self.client.start('small', 'cheras', reclaimable=False)
        for _ in range(2):
            await self.fault(reclaim_data_centre='cheras', notice_s=3)
        notices = await self.client.notices()
        self.assertEqual([notice.instance for notice in notices], [cheap.instance])
        self.assertEqual(await self.client.notices(after=notices[0].sequence), ())

    async def test_answer_without_end_is_broken_off(self):
        """A faulty interface could fill the memory of the process that calls it."""
        sent, block = 0, b'x' * 65536

        async def serve(reader, writer):
            nonlocal sent
            writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
            with contextlib.suppress(OSError):
                while not writer.is_closing():
                    writer.write(block)
                    await writer.drain()
                    sent += len(block)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
        client = CloudClient.from_url(f'http://{address}', limit_s=20)
        self.addAsyncCleanup(client.close)
        with self.assertRaises(PlatformUnreachableError):
            await client.prices()
        self.assertLess(sent, 4 * MAX_ANSWER_BYTES)

    async def test_end_is_idempotent(self):
        started = await self.client.start('small', 'cheras', reclaimable=True)
        for _ in range(2):
            await self.client.end(started.instance)
        await self.client.end('unknown')
        self.assertEqual((await self.client.instances())[0].state, 'ended')

    async def test_unreachable_cloud_has_its_type(self):
        await self.serving.close()
        with self.assertRaises(PlatformUnreachableError):
            await self.client.prices()


class WeightClientTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *options):
        serving = await weights.WeightStore(weights.parser().parse_args(options)).start()
        self.addAsyncCleanup(serving.close)
        client = WeightClient.from_url(f'http://{serving.address}', silence_limit_s=20)
        self.addAsyncCleanup(client.close)
        return serving, client

    async def test_weights_are_whole(self):
        _, client = await self.start('--size-bytes', '200000')
        pieces = [len(piece) async for piece in client.read('bench-v1')]
        self.assertEqual(sum(pieces), 200000)

    async def test_reader_over_the_limit_is_told_when_to_come_back(self):
        _, client = await self.start('--readers', '0', '--retry-after-s', '7')
        with self.assertRaises(RateLimitedError) as limited:
            await anext(client.read('bench-v1'))
        self.assertEqual(limited.exception.fields['retry_after_s'], 7)

    async def test_cut_transfer_is_not_taken_for_whole_weights(self):
        serving, client = await self.start('--bytes-per-s', '100000')
        async with contextlib.aclosing(client.read('bench-v1')) as pieces:
            await anext(pieces)
            await serving.close()
            with self.assertRaises(WeightsIncompleteError):
                async for _ in pieces:
                    continue

    async def test_late_copy_is_not_taken_for_other_weights(self):
        """Answers name no weights, and the copy of an earlier one is whole: another version would
        have been loaded, or a wait that was over would have begun again."""

        async def answer(reader, writer):
            request = await reader.readuntil(b'\r\n\r\n')
            body = request.split()[1]
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    writer.write(
                        b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body
                    )
                    await reader.readuntil(b'\r\n\r\n')
            writer.close()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        client = WeightClient.from_url(f'http://{host}:{port}', silence_limit_s=20)
        self.addAsyncCleanup(client.close)
        for name in ('bench-v1', 'bench-v2'):
            pieces = [piece async for piece in client.read(name)]
            self.assertEqual(b''.join(pieces), f'/weights/{name}'.encode())


if __name__ == '__main__':
    unittest.main()
