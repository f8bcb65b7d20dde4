"""Stand-in weight store: `python -m geraniumrail.standins.weights --help`."""

import argparse
import asyncio
import time

from aiohttp import web

from geraniumrail.standins.process import Serving, run, serve_until
from geraniumrail.standins.replies import error_reply, json_reply

_CHUNK_BYTES = 65536


class WeightStore:
    """Weights by name; a token bucket limits the bytes sent to all readers together."""

    def __init__(self, args: argparse.Namespace) -> None:
        """Creates the store; `start` binds it.

        :param args: options of `parser`.
        """
        self.args = args
        self.stopped = asyncio.Event()
        self._reading = 0
        self._free_at = time.monotonic()
        self._reads: list[dict[str, object]] = []

    async def start(self) -> Serving:
        """Binds the store."""
        application = web.Application()
        application.add_routes(
            (
                web.get('/weights/{name}', self._read),
                web.get('/journal', self._journal),
            )
        )
        return await Serving.bind(application, self.args.listen, cancel_handlers=True)

    async def _read(self, request: web.Request) -> web.StreamResponse:
        if self._reading >= self.args.readers:
            reply = error_reply(429, 'rate_limited', 'too many readers')
            reply.headers['Retry-After'] = str(self.args.retry_after_s)
            return reply
        self._reads.append({'name': request.match_info['name'], 'at': time.time()})
        self._reading += 1
        try:
            return await self._send(request)
        finally:
            self._reading -= 1

    async def _send(self, request: web.Request) -> web.StreamResponse:
        size = self.args.size_bytes
        response = web.StreamResponse(headers={'Content-Length': str(size)})
        await response.prepare(request)
        for start in range(0, size, _CHUNK_BYTES):
            chunk = bytes(min(_CHUNK_BYTES, size - start))
            await self._pace(len(chunk))
            await response.write(chunk)
        return response

    async def _pace(self, size: int) -> None:
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + size / self.args.bytes_per_s
        await asyncio.sleep(self._free_at - now)

    async def _journal(self, request: web.Request) -> web.Response:
        return json_reply({'reads': self._reads})


def parser() -> argparse.ArgumentParser:
    """Returns the command line of the weight store."""
    options = argparse.ArgumentParser(prog='geraniumrail.standins.weights', description=__doc__)
    add = options.add_argument
    add('--listen', default='127.0.0.1:0', help='ip:port; port 0 takes a free one')
    add('--size-bytes', type=int, default=1_000_000, help='size of each set of weights')
    add('--bytes-per-s', type=float, default=10_000_000, help='for all readers together')
    add('--readers', type=int, default=4, help='more are refused with 429')
    add('--retry-after-s', type=int, default=1)
    return options


async def main(args: argparse.Namespace) -> None:
    """Runs one weight store.

    :param args: parsed command line.
    """
    store = WeightStore(args)
    await serve_until(await store.start(), store.stopped, store.stopped.set)


if __name__ == '__main__':
    run(main, parser().parse_args())
