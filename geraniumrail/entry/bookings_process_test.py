"""Guards bookings against reclaims, kills, freezes and repeated keys, with real processes."""

import asyncio
import json
import pathlib
import shutil
import tempfile
import time
import unittest

import aiohttp

from geraniumrail.entry.testing import DONE, ELSEWHERE, LOST, Request, Run, check_history
from geraniumrail.testing.caller import Caller
from geraniumrail.testing.deployment import ADMIN, Deployment

WAVE = 24
WAVE_STEP_S = 0.08
LIMIT_S = 120.0
SERVICE_OPTIONS = ('--work-ms', '250', '--idle-exit-s', '600', '--notice-s', '600')


class Recorder:
    """Sends bookings and records invoke and complete events; reads the services' journals."""

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        self.deployment = deployment
        self.session = session
        self.entries = [place.callers for place in deployment.places]
        self.caller = Caller(session, self.entries)
        self.requests: list[Request] = []

    async def ask(self, key: str, entry: str, body: str = 'chair') -> Request:
        request = Request(key, body.encode(), entry, time.time())
        self.requests.append(request)
        reply = await self.caller.book(key, {'item': body}, entry)
        if reply.status:
            request.ended = time.time()
            request.outcome = reply.error_type() or DONE
            request.answer = identity(reply.body) if request.outcome == DONE else b''
            request.reason = reply.body.decode()
        return request

    async def ask_until_answered(self, key: str, *entries: str) -> Request:
        """Asks the entries in turn until the outcome will not change any more."""
        end = time.monotonic() + LIMIT_S
        while True:
            for entry in entries:
                request = await self.ask(key, entry)
                unsettled = 'still running' in request.reason
                if request.outcome not in {LOST, ELSEWHERE, 'not_run'} and not unsettled:
                    return request
                if time.monotonic() > end:
                    raise AssertionError(f'{key} was not answered: {request}')
                await asyncio.sleep(0.1)

    async def journal(self) -> list[Run]:
        runs = []
        for address in self.deployment.addresses_by_name.values():
            async with self.session.get(f'http://{address}/journal') as answer:
                runs += (await answer.json())['runs']
        return [
            Run(
                run['key'],
                run['attempt'],
                run['body']['item'].encode(),
                run['started_at'],
                f'{run["kind"]}-{run["number"]} {run["key"]}'.encode(),
            )
            for run in runs
        ]

    async def set_fault(self, **fault) -> None:
        for address in self.deployment.addresses_by_name.values():
            await self.post(address, '/v1/faults', fault)

    async def post(self, address: str, path: str, body: dict) -> None:
        async with self.session.post(f'http://{address}{path}', json=body) as answer:
            assert answer.status == 200, await answer.text()

    async def violations(self, keys: list[str], answered: bool) -> list[str]:
        """Checks the keys; with `answered`, each must have run and been answered with it."""
        requests = [request for request in self.requests if request.key in keys]
        found = check_history(requests, [run for run in await self.journal() if run.key in keys])
        done = {request.key for request in requests if request.outcome == DONE}
        return found + [f'{key} was not answered' for key in keys if answered and key not in done]


def identity(body: bytes) -> bytes:
    """Returns what names the run and its key in an answer."""
    answer = json.loads(body)
    return f'{answer["id"]} {answer["key"]}'.encode()


class BookingsProcessTest(unittest.IsolatedAsyncioTestCase):
    """One deployment; the cases run in order, because each takes processes away."""

    async def asyncSetUp(self):
        folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, folder, ignore_errors=True)
        self.deployment = Deployment(pathlib.Path(folder))
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.options = ('--ledger', f'{folder}/ledger', *SERVICE_OPTIONS)
        for number in range(3):
            await self.deployment.start_service(f'desk-{number}', *self.options)
        await self.deployment.until_served(3)
        timeout = aiohttp.ClientTimeout(total=LIMIT_S)
        session = aiohttp.ClientSession(timeout=timeout)
        self.addAsyncCleanup(session.close)
        self.recorder = Recorder(self.deployment, session)

    async def test_bookings(self):
        for case in (
            self.same_key_everywhere,
            self.outcome_of_killed_entry,
            self.killed_and_frozen,
            self.undispatched_of_killed_entry,
            self.announced_reclaim,
            self.empty_disk,
        ):
            started = time.monotonic()
            with self.subTest(case=case.__name__):
                await case()
            print(f'{case.__name__} {time.monotonic() - started:.1f} s', flush=True)

    async def wave(self, name: str, *entries: str) -> tuple[list[str], list[asyncio.Task]]:
        """Starts bookings one after the other, so that a failure meets all their steps."""
        keys = [f'{name}-{number}' for number in range(WAVE)]
        tasks = []
        for key in keys:
            tasks.append(asyncio.create_task(self.recorder.ask_until_answered(key, *entries)))
            await asyncio.sleep(WAVE_STEP_S)
        return keys, tasks

    async def same_key_everywhere(self):
        entries = self.recorder.entries
        await self.recorder.set_fault(mode='crossed', share=0.3)
        await self.recorder.set_fault(mode='lose_answer', share=0.3)
        await self.recorder.set_fault(mode='late', share=0.3, delay_s=0.2)
        keys = [f'same-{number}' for number in range(10)]
        asked = [self.recorder.ask(key, entry) for key in keys for entry in (*entries, *entries)]
        first = await asyncio.gather(*asked)
        await self.recorder.set_fault(mode='none')
        resent = await asyncio.gather(*(self.recorder.ask(key, entries[1]) for key in keys))
        self.assertEqual({request.outcome for request in (*first, *resent)}, {DONE})
        for entry in entries:
            other = await self.recorder.ask('same-0', entry, 'another chair')
            self.assertEqual(other.outcome, 'idempotency_key_reused')
        self.assertEqual(await self.recorder.violations(keys, answered=True), [])

    async def outcome_of_killed_entry(self):
        """The entry dies while the service works; the service's record has the result."""
        await self.recorder.set_fault(mode='slow', factor=40)
        victim, other = await self.followers()
        first = asyncio.create_task(self.recorder.ask('slow', victim.callers))
        await self.until_run('slow')
        await self.deployment.processes_by_name[victim.name].kill()
        await first
        answered = await self.recorder.ask_until_answered('slow', other.callers)
        self.assertEqual(answered.outcome, DONE)
        await self.recorder.set_fault(mode='none')
        await self.restart(victim.name)
        self.assertEqual(await self.recorder.violations(['slow'], answered=True), [])

    async def killed_and_frozen(self):
        """One entry is killed and one is frozen for longer than its lease."""
        killed, frozen = await self.followers()
        entries = (killed.callers, frozen.callers)
        others = [entry for entry in self.recorder.entries if entry not in entries]
        wave = asyncio.gather(
            self.wave('killed', killed.callers, *others),
            self.wave('frozen', frozen.callers, *others),
        )
        await self.until_run('killed-8')
        await self.deployment.processes_by_name[killed.name].kill()
        self.deployment.processes_by_name[frozen.name].freeze()
        await asyncio.sleep(7)
        self.deployment.processes_by_name[frozen.name].thaw()
        keys = []
        for started, tasks in await wave:
            keys += started
            await asyncio.gather(*tasks)
        await self.restart(killed.name)
        for key in keys:
            await self.recorder.ask_until_answered(key, frozen.callers)
        self.assertEqual(await self.recorder.violations(keys, answered=False), [])

    async def undispatched_of_killed_entry(self):
        """Accepted bookings wait for a backend server; another entry takes them over."""
        await self.recorder.set_fault(mode='refuse')
        victim, other = await self.followers()
        keys = [f'waiting-{number}' for number in range(4)]
        first = [asyncio.create_task(self.recorder.ask(key, victim.callers)) for key in keys]
        await self.until_logged(victim.name, 'entry.booking_released', keys)
        await self.deployment.processes_by_name[victim.name].kill()
        await asyncio.gather(*first)
        await self.recorder.set_fault(mode='none')
        for key in keys:
            answered = await self.recorder.ask_until_answered(key, other.callers)
            self.assertEqual(answered.outcome, DONE)
        await self.restart(victim.name)
        self.assertEqual(await self.recorder.violations(keys, answered=True), [])

    async def announced_reclaim(self):
        """An entry, the leader and a backend server are told to stop at the same time."""
        leader = await self.leader()
        victim, other = await self.followers()
        entries = (victim.callers, leader.callers)
        waves = asyncio.gather(*(self.wave(f'told-{entry}', entry) for entry in entries))
        await self.until_run(f'told-{leader.callers}-6')
        leaving = self.deployment.addresses_by_name['desk-0']
        processes = self.deployment.processes_by_name
        exits = [
            asyncio.create_task(processes[place.name].terminate()) for place in (victim, leader)
        ]
        await self.recorder.post(leaving, '/v1/leave', {'notice_s': 600})
        keys = []
        for started, tasks in await waves:
            keys += started
            for request in await asyncio.gather(*tasks):
                self.assertEqual(request.outcome, DONE)
        self.assertEqual(await asyncio.gather(*exits), [0, 0])
        for key in keys:
            collected = await self.recorder.ask_until_answered(key, other.callers)
            self.assertEqual(collected.outcome, DONE)
        lost = [request for request in self.recorder.requests if request.key in keys]
        self.assertNotIn(LOST, {request.outcome for request in lost})
        self.assertEqual(await self.recorder.violations(keys, answered=True), [])
        for place in (victim, leader):
            await self.restart(place.name)

    async def empty_disk(self):
        """A member returns with an empty disk and is asked with keys that ran before."""
        place = next(each for each in await self.followers() if each.data)
        keys = ['disk-0', 'disk-1']
        for key in keys:
            await self.recorder.ask_until_answered(key, place.callers)
        await self.deployment.processes_by_name[place.name].kill()
        lost = (place.data / 'missing').parent
        shutil.rmtree(lost)
        await self.restart(place.name)
        for key in (*keys, 'same-0'):
            answered = await self.recorder.ask_until_answered(key, place.callers)
            self.assertEqual(answered.outcome, DONE)
        self.assertEqual(await self.recorder.violations([*keys, 'same-0'], answered=True), [])

    async def leader(self):
        await self.deployment.until(self.deployment.leads, 'no leader')
        return await self.deployment.leader()

    async def followers(self):
        """Returns two entries with disks that do not lead."""
        leader = await self.leader()
        places = [place for place in self.deployment.places if place != leader]
        return places[0], places[1]

    async def restart(self, name: str) -> None:
        await self.deployment.start_entry(name)

        async def listed() -> bool:
            found = await self.deployment.operate('GET', f'{ADMIN}/entries')
            return len(found['entries']) == len(self.deployment.places)

        await self.deployment.until(listed, f'{name} does not serve')

    async def until_run(self, key: str) -> None:
        async def ran() -> bool:
            return key in {run.key for run in await self.recorder.journal()}

        await self.deployment.until(ran, f'{key} does not run')

    async def until_logged(self, name: str, event: str, keys: list[str]) -> None:
        log = self.deployment.processes_by_name[name].log

        async def logged() -> bool:
            lines = [line for line in log.read_text().splitlines() if event in line]
            return all(any(f'/{key}"' in line for line in lines) for key in keys)

        await self.deployment.until(logged, f'{event} is not logged')


if __name__ == '__main__':
    unittest.main()
