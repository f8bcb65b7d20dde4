"""Measures the processor time that the engine client takes for each chunk.

Run: `python -m geraniumrail.bench.chunk_cost`. Events are sent by a second thread over loopback at
the pace of an engine; only the processor time of the client's thread counts.
"""

import argparse
import asyncio
import threading
import time

import uvloop
from aiohttp import web

from geraniumrail.backends.chunk_filter import DONE, ChunkFilter, DropCounts
from geraniumrail.backends.connections import Connections, ConnectionsConfig
from geraniumrail.backends.engine_call import EngineCall
from geraniumrail.backends.engine_client import EngineClient
from geraniumrail.backends.event_lines import EventLines
from geraniumrail.core.backend import Backend
from geraniumrail.standins.answer import expected_text
from geraniumrail.standins.completion_format import CompletionFormat
from geraniumrail.standins.process import Serving
from geraniumrail.standins.work import Work

_PATH = '/v1/chat/completions'
_LINE_LIMIT_BYTES = 1024 * 1024
_MICROSECONDS = 1_000_000


def encode_events(call: EngineCall, tokens: int) -> list[bytes]:
    """Returns the events of a whole answer.

    :param call: the request answered.
    :param tokens: length of the answer.
    """
    body = {**call.body, 'request_id': call.request_id, 'attempt': call.attempt}
    work = Work.from_body(body, version='v1', route='', leaving=False, number=1)
    shape = CompletionFormat(chat=True, work=work)
    texts = expected_text('cost', tokens).split()
    events = [shape.event(offset, f'{text} ') for offset, text in enumerate(texts)]
    return [*events, shape.event(tokens, '', finish_reason='length', tokens=0)]


def parse_cost_s(call: EngineCall, events: list[bytes]) -> float:
    """Returns the processor time of splitting, decoding and checking, for each chunk.

    :param call: the request answered.
    :param events: its answer.
    """
    lines = EventLines(_LINE_LIMIT_BYTES)
    accept = ChunkFilter(call, DropCounts())
    started = time.thread_time()
    for event in events:
        accept.accept(*lines.feed(event))
    return (time.thread_time() - started) / len(events)


async def stream_cost_s(address: str, call: EngineCall, streams: int) -> float:
    """Returns the processor time of the client for each chunk, sockets included.

    :param address: `ip:port` of the server.
    :param call: the request, sent once for each stream.
    :param streams: streams at the same time.
    """
    connections = Connections.from_config(ConnectionsConfig())
    client = EngineClient(connections)
    place = {'data_centre': 'local', 'region': 'local', 'version': 'v1'}
    backend = Backend(instance='e1', service='bench', address=address, **place)
    started = time.thread_time()
    chunks = sum(await asyncio.gather(*(_read(client, backend, call) for _ in range(streams))))
    spent_s = time.thread_time() - started
    await connections.close()
    return spent_s / chunks


async def _read(client: EngineClient, backend: Backend, call: EngineCall) -> int:
    return len([chunk.offset async for chunk in client.stream(backend, call)])


class PacedServer(threading.Thread):
    """Sends the same events to each caller at an interval."""

    def __init__(self, events: list[bytes], interval_s: float) -> None:
        """Creates the thread.

        :param events: one answer.
        :param interval_s: between two events of a stream, in seconds.
        """
        super().__init__(daemon=True)
        self.address = ''
        self.bound = threading.Event()
        self._events = events
        self._interval_s = interval_s

    def run(self) -> None:
        """Serves until the process ends."""
        uvloop.run(self._serve())

    async def _serve(self) -> None:
        application = web.Application()
        application.add_routes((web.post(_PATH, self._answer),))
        serving = await Serving.bind(application, '127.0.0.1:0')
        self.address = serving.address
        self.bound.set()
        await asyncio.Event().wait()

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        for event in self._events:
            await response.write(event)
            await asyncio.sleep(self._interval_s)
        await response.write(b'data: %b\n\n' % DONE)
        return response


def main() -> None:
    """Prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--streams', type=int, default=64)
    parser.add_argument('--tokens', type=int, default=300)
    parser.add_argument('--interval-ms', type=float, default=20)
    parser.add_argument('--rounds', type=int, default=3)
    args = parser.parse_args()
    messages = [{'role': 'user', 'content': 'cost'}]
    body = {'messages': messages, 'max_tokens': args.tokens, 'model': 'bench'}
    call = EngineCall(path=_PATH, body=body, request_id='request-0123456789abcdef', attempt=1)
    events = encode_events(call, args.tokens)
    server = PacedServer(events, args.interval_ms / 1000)
    server.start()
    server.bound.wait()
    for _ in range(args.rounds):
        parse_us = parse_cost_s(call, encode_events(call, args.tokens)) * _MICROSECONDS
        stream_s = uvloop.run(stream_cost_s(server.address, call, args.streams))
        stream_us = stream_s * _MICROSECONDS
        print(f'parse {parse_us:.1f} us/chunk, stream {stream_us:.1f} us/chunk')  # noqa: WPS421


if __name__ == '__main__':
    main()
