"""Cost of the data path: streams through one entry process against a direct connection."""

import argparse
import asyncio
import dataclasses
import itertools
import json
import pathlib
import tempfile
import time

import aiohttp
import psutil
import uvloop

from geraniumrail.testing.deployment import Deployment
from geraniumrail.testing.layout import caller_key

ENGINES = 6
WARM_UP_S = 2.0
MIB = 1 << 20
MS = 1000


@dataclasses.dataclass
class Tally:
    """What the streams of one measurement saw."""

    first_token_s: list[float] = dataclasses.field(default_factory=list)
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    tokens: int = 0
    requests: int = 0
    failed: int = 0

    def percentile(self, samples: list[float], share: float) -> float:
        """Returns a percentile in milliseconds.

        :param samples: values in seconds.
        :param share: 0 to 1.
        """
        ordered = sorted(samples)
        return MS * ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0


async def stream(session: aiohttp.ClientSession, url: str, tokens: int, tally: Tally) -> None:
    """Reads one streamed reply.

    :param session: HTTP client.
    :param url: base URL of the entry or engine.
    :param tokens: length of the reply.
    :param tally: where to count.
    """
    body = {
        'model': 'bench',
        'stream': True,
        'max_tokens': tokens,
        'messages': [{'role': 'user', 'content': f'load {tally.requests}'}],
    }
    tally.requests += 1
    started = time.monotonic()
    last = started
    seen = 0
    try:
        async with session.post(f'{url}/v1/chat/completions', data=json.dumps(body)) as answer:
            async for line in answer.content:
                if not line.startswith(b'data: {'):
                    continue
                now = time.monotonic()
                samples = tally.gaps_s if seen else tally.first_token_s
                samples.append(now - last if seen else now - started)
                last = now
                seen += 1
    except (aiohttp.ClientError, TimeoutError):
        tally.failed += 1
    tally.failed += seen < tokens
    tally.tokens += seen


async def load(urls: list[str], streams: int, tokens: int, seconds: float) -> Tally:
    """Keeps a number of streams open for a time.

    :param urls: base URLs, used in turn.
    :param streams: number of streams.
    :param tokens: length of each reply.
    :param seconds: how long new streams are started.
    """
    tally = Tally()
    end = time.monotonic() + seconds
    headers = {
        'Authorization': f'Bearer {caller_key("salon-a")}',
        'Content-Type': 'application/json',
    }
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, headers=headers) as session:

        async def keep_open(url: str) -> None:
            while time.monotonic() < end:
                await stream(session, url, tokens, tally)

        targets = itertools.islice(itertools.cycle(urls), streams)
        await asyncio.gather(*(keep_open(url) for url in targets))
    return tally


async def measure(
    deployment: Deployment,
    streams: int,
    args: argparse.Namespace,
) -> str:
    """Measures one number of streams, direct and through the first entry.

    :param deployment: the processes.
    :param streams: number of streams.
    :param args: parsed options.
    """
    engines = [f'http://{address}' for address in deployment.addresses_by_name.values()]
    direct = await load(engines, streams, args.tokens, args.seconds)
    entry = deployment.places[-1]  # the one that does not lead and has no vote
    process = psutil.Process(deployment.processes_by_name[entry.name].process.pid)
    before, started = process.cpu_times(), time.monotonic()
    routed = await load([f'http://{entry.callers}'], streams, args.tokens, args.seconds)
    after, ended = process.cpu_times(), time.monotonic()
    span = ended - started
    cpu_s = after.user + after.system - before.user - before.system
    cells = [
        streams,
        f'{routed.requests / span:.1f}',
        f'{routed.tokens / span:.0f}',
        routed.failed,
        f'{100 * cpu_s / span:.1f}',
        f'{1e6 * cpu_s / max(1, routed.tokens):.1f}',
        f'{process.memory_info().rss / MIB:.0f}',
    ]
    for share in (0.5, 0.95, 0.99):
        pair = [tally.percentile(tally.first_token_s, share) for tally in (direct, routed)]
        cells.append(f'{pair[0]:.1f}/{pair[1]:.1f}')
    cells.append(f'{direct.percentile(direct.gaps_s, 0.95):.1f}')
    cells.append(f'{routed.percentile(routed.gaps_s, 0.95):.1f}')
    return ','.join(str(cell) for cell in cells)


async def run(args: argparse.Namespace) -> None:
    """Measures all numbers of streams.

    :param args: parsed options.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(pathlib.Path(folder))
        try:
            await deployment.start()
            for number in range(ENGINES):
                await deployment.start_engine(
                    f'engine-{number}',
                    '--slots',
                    '64',
                    '--token-ms',
                    str(args.token_ms),
                )
            await deployment.until_served(ENGINES)
            await asyncio.sleep(WARM_UP_S)
            print(
                'streams,requests_s,tokens_s,failed,entry_cpu_pct,entry_us_per_token,'
                'entry_rss_mib,first_token_p50_ms direct/entry,p95,p99,'
                'gap_p95_ms direct,gap_p95_ms entry',
                flush=True,
            )
            for streams in args.streams:
                print(await measure(deployment, streams, args), flush=True)
        finally:
            await deployment.stop()


def main() -> None:
    """Parses the options and measures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--streams', type=int, nargs='+', default=[1, 20, 60, 120])
    parser.add_argument('--tokens', type=int, default=100)
    parser.add_argument('--token-ms', type=float, default=20)
    parser.add_argument('--seconds', type=float, default=8)
    uvloop.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
