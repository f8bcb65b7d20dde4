"""Cost of a booking at each process: three log entries and one call of a plain service."""

import argparse
import asyncio
import itertools
import json
import pathlib
import sys
import tempfile
import time

import aiohttp
import psutil
import uvloop

from geraniumrail.testing.caller import Caller
from geraniumrail.testing.deployment import ADMIN, Deployment

SERVICES = 3
MS = 1000
CREATED = 201


async def book(caller: Caller, entry: str, keys: itertools.count, end: float) -> list[float]:
    """Books one after another until a time and returns the latencies in seconds.

    :param caller: the caller.
    :param entry: address of the entry.
    :param keys: numbers for the keys.
    :param end: monotonic seconds.
    """
    latencies = []
    while time.monotonic() < end:
        started = time.monotonic()
        reply = await caller.book(f'cost-{next(keys)}', {'chair': 1}, entry)
        if reply.status != CREATED:
            sys.exit(f'a booking failed: {reply.status} {reply.body!r}')
        latencies.append(time.monotonic() - started)
    return latencies


async def cpu_by_role(deployment: Deployment) -> dict[str, tuple[str, float]]:
    """Returns the role and the processor seconds of each entry.

    :param deployment: the processes.
    """
    leader = await deployment.leader()
    found = {}
    for place in deployment.places:
        times = psutil.Process(deployment.processes_by_name[place.name].process.pid).cpu_times()
        role = 'leader' if place == leader else 'voter' if place.data else 'learner'
        found[place.name] = (role, times.user + times.system)
    return found


async def measure(deployment: Deployment, callers: int, seconds: float, run: int) -> str:
    """Measures one number of callers and returns a line of CSV.

    :param deployment: the processes.
    :param callers: bookings in progress at once.
    :param seconds: length of the measurement.
    :param run: makes the keys unique.
    """
    addresses = [place.callers for place in deployment.places]
    keys = itertools.count(run * 1_000_000)
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        before = await cpu_by_role(deployment)
        started = time.monotonic()
        tasks = [
            book(
                Caller(session, addresses),
                addresses[number % len(addresses)],
                keys,
                started + seconds,
            )
            for number in range(callers)
        ]
        latencies = sorted(itertools.chain.from_iterable(await asyncio.gather(*tasks)))
        span = time.monotonic() - started
        after = await cpu_by_role(deployment)
    cost = {
        f'{role} {name}': round(MS * (after[name][1] - used) / len(latencies), 2)
        for name, (role, used) in before.items()
    }
    return (
        f'{callers},{len(latencies) / span:.1f},{MS * latencies[len(latencies) // 2]:.1f},'
        f'{MS * latencies[int(0.95 * len(latencies))]:.1f},{json.dumps(cost)}'
    )


async def run(args: argparse.Namespace) -> None:
    """Measures all numbers of callers.

    :param args: parsed options.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(pathlib.Path(folder))
        try:
            await deployment.start()
            for number in range(SERVICES):
                await deployment.start_service(f'desk-{number}', '--work-ms', '5')
            await deployment.until_served(SERVICES)
            print('callers,bookings_s,p50_ms,p95_ms,processor ms for each booking', flush=True)
            for number, callers in enumerate(args.callers):
                print(await measure(deployment, callers, args.seconds, number), flush=True)
            status = await deployment.operate('GET', f'{ADMIN}/status')
            print(f'log entries {status["last_index"]}, bookings {status["bookings"]}')
        finally:
            await deployment.stop()


def main() -> None:
    """Parses the options and measures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--callers', type=int, nargs='+', default=[1, 8, 32, 64])
    parser.add_argument('--seconds', type=float, default=6)
    uvloop.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
