"""Guards settings, members and orders against kills, freezes and lost disks of real processes."""

import asyncio
import collections
import contextlib
import pathlib
import shutil
import tempfile
import time
import unittest

import aiohttp

from geraniumrail.commands.operator_client import OperatorClient, Patience
from geraniumrail.errors.operator import (
    AnswerConflictError,
    ControlUnreachableError,
    OperatorOutcomeUnknownError,
)
from geraniumrail.testing.deployment import ADMIN, Deployment
from geraniumrail.testing.layout import OPERATOR_KEY
from geraniumrail.testing.register_history import Operation, check

KEY = 'keep_for_s'  # an entry returns the value that it serves in its answer to /v1/entries
PATHS = [f'/org-{number}' for number in range(26)]
CHANGES = 20  # of each path
IN_FORCE_S = 7.0
MAX_FREEZES = 10  # of processes that lost leadership before they were frozen


class Recorder:
    """Two operators change the root node concurrently while all entries are polled."""

    def __init__(self, deployment, session):
        self.deployment = deployment
        self.session = session
        # Shared: a client continues with the member that answered last, not with a frozen one.
        self.client = OperatorClient.from_addresses(
            [place.operators for place in deployment.places], OPERATOR_KEY
        )
        self.history = []
        self.problems = []
        self.in_force = 0.0
        self.accepted = []  # (when it was answered, value)
        self.served_by_pid = collections.defaultdict(float)
        self.refusals = collections.Counter()
        self.version = 1
        self.done = 0
        self.stopping = False

    async def operate(self, number):
        while not self.stopping:
            await self.read()
            await self.write(number)

    async def read(self):
        operation = Operation(path='/', kind='read', invoked_at=time.monotonic())
        with contextlib.suppress(ControlUnreachableError):
            node = await self.client.request('GET', f'{ADMIN}/settings?path=/')
            operation.version, operation.found = node['version'], node['values'][KEY]
            operation.outcome, operation.completed_at = 'done', time.monotonic()
            self.version = max(self.version, node['version'])
            if self.version > 1:  # version 1 was written before the recorder started
                self.history.append(operation)

    async def write(self, number):
        wanted = round(2 + (self.version + 1) / 100 + number / 1000, 3)
        operation = Operation(
            path='/',
            kind='write',
            invoked_at=time.monotonic(),
            change_id=f'{number}-{self.version}-{len(self.history)}',
            expected=self.version,
            wanted=wanted,
        )
        self.history.append(operation)
        try:
            answer = await self.change('/', {KEY: wanted}, operation.expected, operation.change_id)
        except AnswerConflictError as error:
            operation.outcome, operation.version = 'conflict', error.fields['version']
        except ControlUnreachableError:
            operation.outcome = 'not_run'
        except OperatorOutcomeUnknownError:
            return
        else:
            operation.outcome, operation.version = 'done', answer['version']
            self.done += 1
            self.accepted.append((time.monotonic(), wanted))
            if answer['in_force']:
                self.in_force = max(self.in_force, wanted)
        operation.completed_at = time.monotonic()

    async def change(self, path, values, version, change_id):
        body = {
            'path': path,
            'values': values,
            'expected_version': version,
            'change_id': change_id,
        }
        return await self.client.request('PUT', f'{ADMIN}/settings', body)

    async def watch(self, place):
        while not self.stopping:
            await asyncio.sleep(0.05)
            process = self.deployment.processes_by_name[place.name]
            asked_at, due = time.monotonic(), self.in_force
            late = (value for at, value in self.accepted if at + IN_FORCE_S < asked_at)
            due = max([due, *late])
            try:
                url = f'http://{place.callers}/v1/entries'
                async with self.session.get(url) as answer:
                    body = await answer.json()
            except (aiohttp.ClientError, TimeoutError):
                continue
            if answer.status != 200:
                self.refusals[place.name, body['error']['type']] += 1
                continue
            value = body[KEY]
            if value < due:
                self.problems.append(f'{place.name} serves {value} when {due} is in force')
            if value < self.served_by_pid[process.process.pid]:
                self.problems.append(f'{place.name} reverted to {value}')
            self.served_by_pid[process.process.pid] = max(
                value, self.served_by_pid[process.process.pid]
            )

    async def until_written(self, count=2):
        wanted = self.done + count

        async def written():
            return self.done >= wanted

        await self.deployment.until(written, 'no change was accepted')


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory(prefix='geraniumrail-control-')
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(pathlib.Path(folder.name))
        self.addAsyncCleanup(self.deployment.stop)
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1))
        self.addAsyncCleanup(self.session.close)
        await self.deployment.start()
        self.recorder = Recorder(self.deployment, self.session)

    async def test_losses(self):
        """No wrong answer, no reverted change and no outage within the tolerated losses."""
        recorder = self.recorder
        tasks = [asyncio.create_task(recorder.operate(number)) for number in range(2)]
        tasks += [asyncio.create_task(recorder.watch(place)) for place in self.deployment.places]
        await recorder.until_written()
        await self.freeze_leader()
        await self.lose_disk_and_repair()
        recorder.stopping = True
        await asyncio.gather(*tasks)
        self.assertEqual(check(recorder.history), [])
        self.assertEqual(recorder.problems, [])
        self.assertGreater(recorder.done, 10)
        await self.send_orders()
        await self.race_moves()
        await self.restart_after_many_changes()

    async def freeze_leader(self):
        """A frozen leader resumes: its entry answers `not_run` until it follows the new leader."""
        leader = await self.frozen_leader()
        process = self.deployment.processes_by_name[leader.name]
        await self.until_led_by_another(leader)
        await self.recorder.until_written()
        listed = await self.recorder.client.request('GET', f'{ADMIN}/entries')
        self.assertNotIn(leader.callers, [entry['address'] for entry in listed['entries']])
        process.thaw()
        await self.until_listed(leader)

    async def frozen_leader(self):
        """Freezes a process while it leads, and returns it.

        On a busy machine another one may be elected between the answer that names the leader and
        the signal. The entry of the frozen process then has a lease of the new leader, which
        correctly lists it until the lease ends.
        """
        for _ in range(MAX_FREEZES):
            leader = await self.deployment.leader()
            if leader is None:
                continue
            process = self.deployment.processes_by_name[leader.name]
            process.freeze()
            if await self.is_followed_by_all(leader):
                return leader
            print(f'{leader.name} had lost leadership when it was frozen')
            process.thaw()
            await self.recorder.until_written()
        raise AssertionError('no process led when it was frozen')

    async def is_followed_by_all(self, leader):
        """Returns whether all other members name a process as their leader."""
        others = [place for place in self.deployment.places if place != leader]
        named = [(await self.deployment.status(place))['leader'] for place in others]
        return all(name == leader.peers for name in named)

    async def lose_disk_and_repair(self):
        """A voter loses its disk and is replaced by the learner; then a second voter is lost."""
        deployment, recorder = self.deployment, self.recorder
        await self.deployment.until(deployment.leads, 'no leader')
        leader = await deployment.leader()
        voters = [place for place in deployment.places[:3] if place != leader]
        leader_is_voter = leader in deployment.places[:3]
        self.assertTrue(leader_is_voter)
        lost, other = voters
        old_id = await self.replica_id(lost)
        await deployment.processes_by_name[lost.name].kill()
        shutil.rmtree(lost.data)
        await recorder.until_written()  # one loss is tolerated
        await deployment.start_entry(lost.name)
        await self.until_answering(lost)
        new_id = await self.replica_id(lost)
        self.assertNotEqual(old_id, new_id)
        await self.refuse_without_majority(leader, other)
        for action, replica_id in (
            ('remove', old_id),
            ('promote', await self.replica_id(deployment.places[3])),
        ):
            await self.change_members(action, replica_id)
        await deployment.processes_by_name[other.name].kill()  # right after the repair
        await recorder.until_written()
        body = {'action': 'add', 'address': lost.peers}
        added = await recorder.client.request('POST', f'{ADMIN}/members', body)
        self.assertEqual(added['replica_id'], new_id)
        await deployment.start_entry(other.name)
        await self.change_members('promote', new_id)
        await recorder.until_written()
        listed = await recorder.client.request('GET', f'{ADMIN}/members')
        members = {member['replica_id']: member['voter'] for member in listed['members']}
        self.assertNotIn(old_id, members)
        self.assertTrue(members[new_id])

    async def refuse_without_majority(self, leader, other):
        """With one voter frozen no change is accepted: one with an empty disk must not vote."""
        self.recorder.refusals.clear()
        self.deployment.processes_by_name[other.name].freeze()
        await asyncio.sleep(2)  # until the last answer of the frozen voter no longer counts
        client = OperatorClient.from_addresses(
            [place.operators for place in self.deployment.places],
            OPERATOR_KEY,
            patience=Patience(attempt_s=2, total_s=5),
        )
        body = {'path': '/none', 'values': {'weight': 2}, 'expected_version': 0, 'change_id': 'n'}
        with self.assertRaises((ControlUnreachableError, OperatorOutcomeUnknownError)):
            await client.request('PUT', f'{ADMIN}/settings', body)
        await self.deployment.until(self.refused_by_all, 'an entry serves without a leader')
        self.deployment.processes_by_name[other.name].thaw()
        await self.recorder.until_written()

    async def refused_by_all(self):
        """Returns whether every running entry has answered `not_run`."""
        asked = {name for name, kind in self.recorder.refusals if kind == 'not_run'}
        return len(asked) >= 3

    async def send_orders(self):
        """An order is carried out once, and a repeated one has the same number."""
        await self.deployment.start_engine('engine-1', '--load-s', '0')
        await self.deployment.until_served(1, entries=3)
        body = {
            'order_id': 'load-1',
            'instance': 'engine-1',
            'kind': 'load_adapter',
            'name': 'quotations',
        }
        first = await self.recorder.client.request('POST', f'{ADMIN}/orders', body)
        again = await self.recorder.client.request('POST', f'{ADMIN}/orders', body)
        self.assertEqual((first['outcome'], again['outcome']), ('accepted', 'repeated'))
        self.assertEqual(first['number'], again['number'])
        later = await self.recorder.client.request(
            'POST', f'{ADMIN}/orders', {**body, 'order_id': 'load-2', 'name': 'manuals'}
        )
        self.assertGreater(later['number'], first['number'])
        with self.assertRaises(AnswerConflictError) as refused:
            await self.recorder.client.request('POST', f'{ADMIN}/orders', body)
        self.assertIn('load-1', str(refused.exception))

    async def race_moves(self):
        """Of two concurrent moves of a service one is accepted; it is cancelled only once."""
        client = self.recorder.client
        bodies = [
            {'move_id': name, 'service': 'model-bench', 'to_version': name, 'deadline_s': 60}
            for name in ('v2', 'v3')
        ]
        started = await asyncio.gather(
            *(client.request('POST', f'{ADMIN}/moves', body) for body in bodies),
            return_exceptions=True,
        )
        refused = [each for each in started if isinstance(each, Exception)]
        self.assertEqual([each.fields['type'] for each in refused], ['move_conflict'])
        (move,) = [each for each in started if isinstance(each, dict)]
        path = f'{ADMIN}/moves/{move["move_id"]}'
        ended = await asyncio.gather(
            *(client.request('DELETE', path) for _ in range(2)), return_exceptions=True
        )
        refused = [each for each in ended if isinstance(each, Exception)]
        self.assertEqual([each.fields['type'] for each in refused], ['move_ended'])
        recorded = await client.request('GET', path)
        self.assertIn(recorded, ended)
        self.assertEqual(recorded['phase'], 'cancelled')

    async def restart_after_many_changes(self):
        """All members are killed after over 500 changes; nothing is lost or applied twice."""
        await asyncio.gather(*(self.change_often(path) for path in PATHS))
        before = await self.deployment.operate('GET', f'{ADMIN}/settings')
        for place in self.deployment.places:
            await self.deployment.processes_by_name[place.name].kill()
        for place in self.deployment.places:
            await self.deployment.start_entry(place.name)
        await self.deployment.until(self.deployment.leads, 'no leader')
        after = await self.deployment.operate('GET', f'{ADMIN}/settings')
        self.assertEqual(before, after)
        again = await self.deployment.change(PATHS[0], {'weight': 1.5}, 0, f'{PATHS[0]}-0')
        self.assertEqual(again['version'], 1)
        unchanged = await self.deployment.operate('GET', f'{ADMIN}/settings')
        self.assertEqual(unchanged, after)

    async def change_often(self, path):
        for version in range(CHANGES):
            await self.recorder.change(
                path, {'weight': 1.5 + version}, version, f'{path}-{version}'
            )

    async def change_members(self, action, replica_id):
        body = {'action': action, 'replica_id': replica_id}
        await self.recorder.client.request('POST', f'{ADMIN}/members', body)

    async def replica_id(self, place):
        status = await self.deployment.operate('GET', f'{ADMIN}/status', place=place)
        return status['replica_id']

    async def until_answering(self, place):
        async def answers():
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.get(f'http://{place.callers}/healthz'):
                    return True
            return False

        await self.deployment.until(answers, f'{place.name} does not answer')

    async def until_led_by_another(self, old):
        async def led():
            for place in self.deployment.places:
                if place != old:
                    with contextlib.suppress(ControlUnreachableError):
                        found = await self.deployment.operate('GET', f'{ADMIN}/status', place=place)
                        if found['leads']:
                            return True
            return False

        await self.deployment.until(led, 'no other leader')

    async def until_listed(self, place):
        async def listed():
            found = await self.recorder.client.request('GET', f'{ADMIN}/entries')
            return place.callers in [entry['address'] for entry in found['entries']]

        await self.deployment.until(listed, f'{place.name} is not listed')


if __name__ == '__main__':
    unittest.main()
