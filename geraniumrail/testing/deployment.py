"""A deployment: entries, engines and plain services as processes."""

import asyncio
import pathlib
from typing import Any

import aiohttp

from geraniumrail.commands.operator_client import OperatorClient, Patience
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.testing.layout import (
    BACKEND_KEY,
    DATA_CENTRES,
    OPERATOR_KEY,
    REGION,
    ROLES,
    EntryPlace,
    lay_out,
)
from geraniumrail.testing.process import Process

READY_LIMIT_S = 40.0
VOTERS = 3
ADMIN = '/v1/admin'
FIRST_SETTINGS: tuple[tuple[str, dict[str, Any]], ...] = (
    ('/', {'keep_for_s': 2}),
    ('/*/model-bench', {'kind': 'engine', 'version': 'v1', 'fencing': 'enforced'}),
    ('/*/model-bench/chat', {'traffic_class': 'chat'}),
    ('/*/model-bench/review', {'traffic_class': 'review'}),
    (
        '/*/repair-desk',
        {
            'kind': 'plain',
            'version': 'v1',
            'repeatable': False,
            'outcome_path': '/outcomes',
            'deadline_ms': 30000,
        },
    ),
)


class DeploymentNotReadyError(GeraniumrailError):
    """Something did not happen in time."""

    type_name = 'deployment_not_ready'
    template = '{reason}; the logs are in {folder}'


class ProcessesEndedError(GeraniumrailError):
    """Entries have ended by themselves."""

    type_name = 'processes_ended'
    template = 'ended by themselves: {output}'


class Deployment:
    """Starts, breaks and stops the processes of one folder."""

    def __init__(
        self,
        folder: pathlib.Path,
        entries: int = 4,
        diskless: int = 1,
        roles: tuple[str, ...] = ROLES,
    ) -> None:
        """Writes the settings files.

        :param folder: an empty folder.
        :param entries: number of entries.
        :param diskless: how many of the last entries have no disk.
        :param roles: roles of each process.
        """
        self.folder = folder
        self.places = lay_out(folder, entries, diskless, roles)
        self.places_by_name = {place.name: place for place in self.places}
        self.processes_by_name: dict[str, Process] = {}
        # Of entries, also those that were started again; stand-ins may end as a fault.
        self._started: list[Process] = []
        self.addresses_by_name: dict[str, str] = {}  # of engines and plain services

    async def start(self) -> None:
        """Starts the entries, creates the group and loads the first settings."""
        for place in self.places:
            await self.start_entry(place.name)
        await self._until_listening()
        first, *others = self.places
        await self.operate('POST', f'{ADMIN}/members', {'action': 'init'}, first)
        await self.until(self.leads, 'no leader')
        for place in others[: VOTERS - 1]:
            await self.add_member(place, voter=True)
        for place in others[VOTERS - 1 :]:
            await self.add_member(place, voter=False)
        for number, (path, values) in enumerate(FIRST_SETTINGS):
            await self.change(path, values, 0, f'first-{number}')

    async def start_entry(self, name: str) -> Process:
        """Starts an entry, or starts it again.

        :param name: name of the entry.
        """
        place = self.places_by_name[name]
        process = await Process.start(
            name,
            self.folder,
            'geraniumrail',
            'run',
            '--config',
            str(place.config),
        )
        self.processes_by_name[name] = process
        self._started.append(process)
        return process

    async def start_engine(self, name: str, *options: str, version: str = 'v1') -> str:
        """Starts a stand-in engine and returns its address.

        :param name: name of the instance.
        :param options: further options of the stand-in.
        :param version: version that it announces.
        """
        models = ('--models', 'bench')
        return await self._start_backend(
            'geraniumrail.standins.engine',
            name,
            'model-bench',
            ('--version', version, *models, *options),
        )

    async def start_service(self, name: str, *options: str, version: str = 'v1') -> str:
        """Starts a stand-in plain service and returns its address.

        :param name: name of the instance.
        :param options: further options of the stand-in.
        :param version: version that it announces.
        """
        return await self._start_backend(
            'geraniumrail.standins.service',
            name,
            'repair-desk',
            ('--version', version, *options),
        )

    async def add_member(self, place: EntryPlace, voter: bool) -> str:
        """Adds a replica to the group and returns its id.

        :param place: the entry.
        :param voter: promote it.
        """
        body = {'action': 'add', 'address': place.peers}
        added = await self.operate('POST', f'{ADMIN}/members', body)
        if voter:
            promote = {'action': 'promote', 'replica_id': added['replica_id']}
            await self.operate('POST', f'{ADMIN}/members', promote)
        return added['replica_id']

    async def operate(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        place: EntryPlace | None = None,
    ) -> dict[str, Any]:
        """Sends an operator's request.

        :param method: HTTP method.
        :param path: path with query.
        :param body: JSON body.
        :param place: the only member to ask; default: all in turn.
        """
        asked = self.places if place is None else [place]
        client = OperatorClient.from_addresses(
            [each.operators for each in asked],
            OPERATOR_KEY,
            patience=Patience(attempt_s=10, total_s=READY_LIMIT_S),
        )
        return await client.request(method, path, body)

    async def change(
        self,
        path: str,
        values: dict[str, Any],
        expected_version: int,
        change_id: str,
    ) -> dict[str, Any]:
        """Changes a settings node.

        :param path: path of the node.
        :param values: new values.
        :param expected_version: version to replace.
        :param change_id: id of the change.
        """
        body = {
            'path': path,
            'values': values,
            'expected_version': expected_version,
            'change_id': change_id,
        }
        return await self.operate('PUT', f'{ADMIN}/settings', body)

    async def leads(self) -> bool:
        """Returns whether a member leads."""
        return await self.leader() is not None

    async def leader(self) -> EntryPlace | None:
        """Returns the member that leads, if any."""
        for place in self.places:
            try:
                status = await self.status(place)
            except (aiohttp.ClientError, TimeoutError):
                continue
            if status.get('leads'):
                return place
        return None

    async def until_served(self, servers: int, entries: int | None = None) -> None:
        """Waits until all entries serve and know the backend servers.

        :param servers: number of backend servers.
        :param entries: number of entries; default: all.
        """
        wanted = len(self.places) if entries is None else entries

        async def served() -> bool:
            found = await self.operate('GET', f'{ADMIN}/servers')
            listed = await self.operate('GET', f'{ADMIN}/entries')
            return len(found['servers']) >= servers and len(listed['entries']) >= wanted

        await self.until(served, f'{servers} servers and {wanted} entries')
        await asyncio.sleep(1.2)  # one report interval: the entries hear of the last announcement

    async def until(self, check: Any, what: str, limit_s: float = READY_LIMIT_S) -> None:
        """Waits until a check holds.

        :param check: coroutine function that returns a bool.
        :param what: description for the failure.
        :param limit_s: limit in seconds.
        :raises DeploymentNotReadyError: if it does not hold in time.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_s
        while not await check():
            if loop.time() > end:
                reason = '\n'.join((what, *self._outputs()))
                raise DeploymentNotReadyError(reason=reason, folder=self.folder)
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Ends all processes without notice.

        Whatever failed before, the output of those that had ended by themselves is shown: the logs
        are removed with the folder.

        :raises ProcessesEndedError: if an entry had ended by itself.
        """
        outputs = self._outputs()
        for process in self.processes_by_name.values():
            if process.alive:
                process.thaw()
                await process.kill()
        if outputs:
            raise ProcessesEndedError(output='\n'.join(outputs))

    def _outputs(self) -> list[str]:
        return [each.last_output() for each in self._started if each.ended_by_itself]

    async def _start_backend(
        self,
        module: str,
        name: str,
        service: str,
        options: tuple[str, ...],
    ) -> str:
        number = len(self.addresses_by_name)
        process = await Process.start(
            name,
            self.folder,
            module,
            '--instance',
            name,
            '--service',
            service,
            '--data-centre',
            DATA_CENTRES[number % len(DATA_CENTRES)],
            '--region',
            REGION,
            '--key',
            BACKEND_KEY,
            '--announce',
            *(f'http://{place.callers}' for place in self.places),
            *options,
        )
        self.processes_by_name[name] = process
        self.addresses_by_name[name] = await process.address()
        return self.addresses_by_name[name]

    async def _until_listening(self) -> None:
        async def listening() -> bool:
            try:
                for place in self.places:
                    await self.status(place)
            except (aiohttp.ClientError, TimeoutError):
                return False
            return True

        await self.until(listening, 'an entry does not listen')

    async def status(self, place: EntryPlace) -> dict[str, Any]:
        """Returns the state of one member.

        :param place: the member.
        :raises aiohttp.ClientError: if it does not answer.
        """
        headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
        timeout = aiohttp.ClientTimeout(total=1)
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            async with session.get(f'http://{place.operators}{ADMIN}/status') as answer:
                return await answer.json()
