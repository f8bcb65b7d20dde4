"""The demo: a deployment under traffic while an engine is reclaimed and an entry is killed."""

import argparse
import asyncio
import collections
import pathlib
import signal
import sys
import tempfile
import time

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from geraniumrail.standins.answer import expected_text  # noqa: E402
from geraniumrail.testing.caller import Caller  # noqa: E402
from geraniumrail.testing.deployment import ADMIN, Deployment  # noqa: E402
from geraniumrail.testing.layout import ORGANISATIONS, caller_key  # noqa: E402

ENGINES = 4
SERVICES = 3
STREAMS = 24
STREAM_TOKENS = 60
BOOKINGS = 40
BOOKING_INTERVAL_S = 0.04
MOVE_DEADLINE_S = 28
MOVE_CALLERS = 24


class Demo:
    """Counts what was asked and what came of it."""

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        self.deployment = deployment
        self.session = session
        self.asked: collections.Counter[str] = collections.Counter()
        self.answered: collections.Counter[str] = collections.Counter()
        self.twice: collections.Counter[str] = collections.Counter()
        # The killed entry may have sent these, and the service knows nothing of them: callers
        # are told so, and the system does not send them again.
        self.unknown: collections.Counter[str] = collections.Counter()
        self.notes: list[str] = []

    def caller(self, number: int) -> Caller:
        """Returns a caller of one of the organisations."""
        entries = [place.callers for place in self.deployment.places]
        organisation = ORGANISATIONS[number % len(ORGANISATIONS)]
        return Caller(self.session, entries, organisation, seed=number)

    async def start(self) -> None:
        """Starts all processes."""
        await self.deployment.start()
        for number in range(ENGINES):
            await self.deployment.start_engine(f'engine-{number}', '--token-ms', '15')
        for number in range(SERVICES):
            await self.deployment.start_service(f'desk-{number}')
        await self.deployment.until_served(ENGINES + SERVICES)

    async def stream(self, kind: str, number: int, route: str, tokens: int) -> None:
        """Asks for one streamed reply and compares the text."""
        self.asked[kind] += 1
        prompt = f'{kind} {number} of the demo'
        caller = self.caller(number)
        text = await caller.chat_until_done(prompt, tokens, route)
        if text == expected_text(f'user: {prompt}', tokens):
            self.answered[kind] += 1
        else:
            self.notes.append(f'{kind} {number}: got {text!r}')

    async def book(self, number: int) -> None:
        """Books a technician, and once more through another entry."""
        self.asked['booking'] += 1
        caller = self.caller(number)
        await asyncio.sleep(number * BOOKING_INTERVAL_S)
        key, body = f'demo-{number}', {'chair': number}
        first = await caller.book_until_answered(key, body)
        again = await caller.book_until_answered(key, body)
        # A run whose answer was lost is answered from the service's record, with status 200.
        if first.error_type() == again.error_type() == 'outcome_unknown':
            self.unknown['booking'] += 1
        elif first.status in {200, 201} and first.body == again.body:
            self.answered['booking'] += 1
        else:
            self.notes.append(f'booking {number}: {first.status} {first.body[:120]!r}')

    async def look_up(self, number: int) -> None:
        """Looks up stock."""
        self.asked['stock lookup'] += 1
        reply = await self.caller(number).get(f'/s/repair-desk/stock/part-{number}')
        self.answered['stock lookup'] += reply.status == 200

    async def reclaim_engine(self) -> None:
        """Reclaims an engine with a notice shorter than the streams."""
        await asyncio.sleep(0.4)
        url = f'http://{self.deployment.addresses_by_name["engine-0"]}/v1/leave'
        async with self.session.post(url, json={'notice_s': 0.3}) as answer:
            await answer.read()

    async def kill_entry(self) -> None:
        """Kills an entry that does not lead, while bookings are in progress."""
        await asyncio.sleep(0.8)
        leader = await self.deployment.leader()
        victim = next(place for place in reversed(self.deployment.places) if place != leader)
        await self.deployment.processes_by_name[victim.name].kill()
        self.notes.append(f'killed {victim.name} during bookings')

    async def change_setting(self) -> None:
        """Changes a node and checks that it is in force everywhere."""
        self.asked['settings change'] += 1
        started = time.monotonic()
        result = await self.deployment.change('/salon-a', {'weight': 2}, 0, 'demo-change')
        self.answered['settings change'] += result['in_force']
        self.notes.append(f'settings change in force after {time.monotonic() - started:.2f} s')

    async def move(self) -> None:
        """Starts engines of a new version and moves the traffic to it."""
        self.asked['version move'] += 1
        for number in range(ENGINES):
            name = f'engine-new-{number}'
            await self.deployment.start_engine(name, '--token-ms', '15', version='v2')
        await self.deployment.until_served(2 * ENGINES - 1 + SERVICES, entries=3)
        body = {
            'move_id': 'demo-move',
            'service': 'model-bench',
            'to_version': 'v2',
            'deadline_s': MOVE_DEADLINE_S,
        }
        await self.deployment.operate('POST', f'{ADMIN}/moves', body)
        ended = asyncio.Event()
        callers = [asyncio.create_task(self._talk(each, ended)) for each in range(MOVE_CALLERS)]
        move = {'phase': 'running'}
        while move['phase'] == 'running':
            await asyncio.sleep(0.3)
            move = await self.deployment.operate('GET', f'{ADMIN}/moves/demo-move')
        ended.set()
        await asyncio.gather(*callers)
        self.answered['version move'] += move['phase'] in {'done', 'taken_back'}
        self.notes.append(f'version move ended: {move["phase"]} ({move["reason"]})')

    async def _talk(self, caller: int, ended: asyncio.Event) -> None:
        number = caller
        while not ended.is_set():
            await self.stream('chat reply', number, 'chat', 4)
            number += MOVE_CALLERS

    async def count_runs(self) -> None:
        """Counts the runs of each key in the journals of the services."""
        runs: collections.Counter[str] = collections.Counter()
        for number in range(SERVICES):
            url = f'http://{self.deployment.addresses_by_name[f"desk-{number}"]}/journal'
            async with self.session.get(url) as answer:
                for run in (await answer.json())['runs']:
                    runs[run['key']] += 1
        self.twice['booking'] = sum(count > 1 for count in runs.values())

    def report(self) -> bool:
        """Prints the table and tells whether nothing was lost or run twice."""
        columns = ('asked', 'answered', 'unknown', 'run twice', 'lost')
        print(' ' * 16, *(f'{column:>10}' for column in columns))
        lost = self.asked - self.answered - self.unknown
        for kind in self.asked:
            counts = (self.asked, self.answered, self.unknown, self.twice, lost)
            print(f'{kind:<16}', *(f'{count[kind]:>10}' for count in counts))
        for note in self.notes:
            print(note)
        return not sum(lost.values()) and not sum(self.twice.values())


async def drive(demo: Demo) -> bool:
    """Drives the traffic and returns whether all of it was answered once."""
    await demo.start()
    await asyncio.gather(
        demo.reclaim_engine(),
        *(demo.stream('chat reply', each, 'chat', STREAM_TOKENS) for each in range(STREAMS)),
        *(demo.stream('warranty review', each, 'review', 90) for each in range(4)),
        *(demo.look_up(each) for each in range(20)),
    )
    await demo.change_setting()
    await asyncio.gather(demo.kill_entry(), *(demo.book(each) for each in range(BOOKINGS)))
    await demo.move()
    await demo.count_runs()
    return demo.report()


async def keep(demo: Demo) -> bool:
    """Prints the addresses and waits for an interrupt."""
    await demo.start()
    for place in demo.deployment.places:
        print(f'callers http://{place.callers}')
    for place in demo.deployment.places:
        print(f'operators http://{place.operators}')
    print(f'caller key {caller_key(ORGANISATIONS[0])}')
    print('operator key test-operator-key', flush=True)
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await stopped.wait()
    return True


async def main() -> int:
    """Runs the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--keep', action='store_true', help='leave everything running')
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix='geraniumrail-demo-') as folder:
        deployment = Deployment(pathlib.Path(folder))
        timeout = aiohttp.ClientTimeout(total=60)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            demo = Demo(deployment, session)
            try:
                return 0 if await (keep(demo) if args.keep else drive(demo)) else 1
            finally:
                await deployment.stop()


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
