"""Restarts all control processes after about 200 changes of a long configuration.

Three control processes, one entry and one plain backend server run on loopback addresses. The
platform is a stand-in: it kills a process above its memory limit and starts ended ones again.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST, KEY, SERVICE = 'site.example', 'example-key', 'desk'
ZONES = ('zone-a', 'zone-b', 'zone-c')
ROUTES = 2196  # six times the largest big_config of the site file
CHANGES = 200
MEMORY_MB = 296  # of a machine of the core
FRONT_MEMORY_MB = 430
DOWN_S = 0.8  # after the common kill; 0.91 s in the site file
RESTART_S = 0.5
RECOVER_S = 12.0
READ_S = 10.0  # contactMs is 3,000
SERVED_SHARE = 0.25
START_LIMIT_S = 25.0
CHANGES_LIMIT_S = 55.0
POLL_S = 0.01
CALL_S = 1.0


class Record:
    """Writes what was sent, answered and run into `record.txt`."""

    def __init__(self):
        self.began = time.monotonic()
        path = pathlib.Path(__file__).with_name('record.txt')
        self.file = path.open('w', encoding='utf-8')

    def write(self, text):
        self.file.write(f'{time.monotonic() - self.began:8.3f} {text}\n')
        self.file.flush()


class Daemon:
    """One process of the system, kept running by the platform."""

    def __init__(self, record, folder, name, settings, command):
        self.record, self.name, self.settings, self.command = record, name, settings, command
        self.path = folder / f'{name}.yaml'
        self.log = folder / f'{name}.log'
        self.limit_bytes = settings['limits']['memoryMb'] * 1024 * 1024
        self.process = None
        self.pause_s = RESTART_S
        self.memory_kills = 0
        self.peak_bytes = 0

    async def keep_running(self):
        while True:
            await self.start()
            watcher = asyncio.create_task(self.watch_memory())
            code = await self.process.wait()
            watcher.cancel()
            self.record.write(f'{self.name} ended with {code}')
            await asyncio.sleep(self.pause_s)
            self.pause_s = RESTART_S

    async def start(self):
        self.path.write_text(json.dumps(self.settings), encoding='utf-8')  # JSON is YAML
        self.settings['bootstrap'] = False
        environment = {name: os.environ[name] for name in ('PATH', 'HOME') if name in os.environ}
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['GERANIUMRAIL_SETTINGS'] = str(self.path)
        with self.log.open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.record.write(f'{self.name} started')

    async def watch_memory(self):
        """Kills the process above its limit, as the platform does."""
        while True:
            with contextlib.suppress(OSError, IndexError):
                used = resident_bytes(self.process.pid)
                self.peak_bytes = max(self.peak_bytes, used)
                if used > self.limit_bytes:
                    self.memory_kills += 1
                    self.record.write(f'{self.name} uses {used // 2**20} MB: killed')
                    self.kill()
                    return
            await asyncio.sleep(POLL_S)

    def kill(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)


def resident_bytes(pid):
    """Returns the memory that a process uses."""
    statm = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE')


class Server:
    """A plain backend server: announces itself and answers each request at once."""

    def __init__(self, case, address):
        self.case, self.address, self.name = case, address, 'i-1'
        self.born = int(time.time() * 1000)
        self.runs = 0

    async def start(self):
        host, _, port = self.address.rpartition(':')
        self.listening = await asyncio.start_server(self.serve, host, int(port))

    async def announce(self):
        for number in itertools.count(1):
            beat = {
                'service': SERVICE,
                'address': self.address,
                'zone': ZONES[0],
                'version': 'v1',
                'slots': 6,
                'state': 'ready',
                'born': self.born,
                'seqNo': number,
            }
            path = f'/v1/Instances.Heartbeat/{self.name}'
            for address in self.case.shuffled_controls():
                status, _ = await call(address, 'POST', path, json.dumps(beat).encode())
                if status == 200:
                    break
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                fields = dict(
                    line.lower().split(': ', 1) for line in head.split('\r\n')[1:] if ': ' in line
                )
                request = fields.get('x-request-id', '')
                if fields.get('x-expect-instance', self.name) != self.name:
                    writer.write(answer('421 Misdirected', request, b''))
                else:
                    self.runs += 1
                    writer.write(answer('200 OK', request, b'x' * 800))
                await writer.drain()
        writer.close()


def answer(status, request, body):
    return (
        f'HTTP/1.1 {status}\r\nX-Request-Id: {request}\r\nX-Response-Seal: seal-{request}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


async def call(address, method, path, body=b'', headers=''):
    """Returns status and body of a call, status 0 without an answer."""
    host, _, port = address.rpartition(':')
    writer = None
    with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError):
        async with asyncio.timeout(CALL_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n{headers}'
                f'Content-Length: {len(body)}\r\n\r\n'.encode()
                + body
            )
            head, _, content = (await reader.read(-1)).partition(b'\r\n\r\n')
            return int(head.split()[1]), content
    if writer is not None:
        writer.close()
    return 0, b''


class Case:
    """The deployment and the steps of the case."""

    def __init__(self, folder, record):
        self.record, self.folder = record, pathlib.Path(folder)
        self.with_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.base = f'127.{random.randrange(20, 120)}.{random.randrange(1, 250)}'
        self.port = free_port()
        self.controls = [f'{self.base}.{10 + at}:{self.port}' for at in range(3)]
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        commands = {name: shlex.split(role['run']) for name, role in deploy['roles'].items()}
        self.cores = [
            Daemon(record, self.folder, f'core-{at}', self.settings(at), commands['control'])
            for at in range(3)
        ]
        front = self.settings(0, is_front=True)
        self.front = Daemon(record, self.folder, 'front-0', front, commands['entry'])
        self.front_address = front['listen']['front']
        self.server = Server(self, f'{self.base}.50:{self.port}')
        self.requests = itertools.count(1)

    def settings(self, at, *, is_front=False):
        ip = f'{self.base}.{30 if is_front else 10 + at}'
        names = ('front', 'readiness', 'directory') if is_front else ('control',)
        data = self.folder / f'data-{at}'
        data.mkdir(exist_ok=True)
        return {
            'node': f'front-{at}' if is_front else f'core-{at}',
            'role': 'entry' if is_front else 'control',
            'machineClass': 'front' if is_front else 'core',
            'serves': ['front', 'directory'] if is_front else ['control'],
            'ip': ip,
            'zone': ZONES[at],
            'region': 'region',
            'zones': dict.fromkeys(ZONES, 'region'),
            'listen': {name: f'{ip}:{self.port + each}' for each, name in enumerate(names)},
            'portRange': [self.port + 10, self.port + 25],
            'seeds': self.controls,
            'bootstrap': True,
            'faultCounted': not is_front,
            'limits': {
                'cpuShare': 0.645,
                'cores': 1,
                'memoryMb': FRONT_MEMORY_MB if is_front else MEMORY_MB,
                'maxFds': 4096,
                'linkMbps': 1000.0,
                'diskMb': 0 if is_front else 128,
            },
            'dataDir': None if is_front else str(data),
            'heartbeatMs': 1200,
            'tolerate': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': {'graceS': 8, 'drainMs': 2000, 'contactMs': 3000, 'catchUpS': 4},
            'configMode': 'highest',
        }

    def shuffled_controls(self):
        return random.sample(self.controls, len(self.controls))

    def config(self, version):
        """Returns a valid configuration; versions differ in one time-out."""
        common = {
            'host': HOST,
            'kind': 'safe',
            'targetLatencyMs': 400,
            'priority': 1,
            'service': SERVICE,
            'attempts': 2,
            'anonymous': False,
            'sticky': False,
            'resumable': False,
        }
        count = 0 if version == 1 else ROUTES
        routes = [
            {'name': 'look', 'pathPrefix': '/look/', 'timeoutMs': 4000 + version, **common},
            *(
                {
                    'name': f'r-{number:07d}',
                    'pathPrefix': f'/more{number:04d}/',
                    'timeoutMs': 4000,
                    **common,
                }
                for number in range(count)
            ),
        ]
        return {
            'version': version,
            'routes': routes,
            'services': [{'name': SERVICE, 'healthCheck': '/healthz', 'maxConns': 110}],
            'tenants': [{'name': 'tenant', 'apiKeys': [KEY]}],
        }

    async def change(self, version, limit_s):
        """Sends a configuration until it is acknowledged."""
        body = json.dumps(self.config(version)).encode()
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            for address in self.shuffled_controls():
                status, _ = await call(address, 'POST', '/v1/Config.Replace', body)
                if status == 200:
                    self.record.write(f'config {version} ({len(body)} bytes) acknowledged')
                    return True
            await asyncio.sleep(0.1)
        return False

    async def request(self):
        """Sends one request of a consumer and returns its status."""
        name = f'request-{next(self.requests)}'
        headers = f'X-Request-Id: {name}\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer {KEY}\r\n'
        status, _ = await call(self.front_address, 'GET', f'/look/{name}', headers=headers)
        self.record.write(f'{name} answered {status}')
        return status

    async def read(self):
        """Returns the version that a read of the configuration gets, 0 without one."""
        for address in self.shuffled_controls():
            status, body = await call(address, 'GET', '/v1/Config.Read')
            self.record.write(f'read answered {status}, {len(body)} bytes')
            if status == 200:
                return json.loads(body)['version']
        return 0

    async def play(self):
        """Returns the exit code."""
        daemons = (*self.cores, self.front)
        await self.server.start()
        tasks = [asyncio.create_task(each.keep_running()) for each in daemons]
        tasks.append(asyncio.create_task(self.server.announce()))
        try:
            return await self.steps()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for daemon in daemons:
                daemon.kill()
                if daemon.process is not None:
                    await daemon.process.wait()
            self.server.listening.close()

    async def steps(self):
        end = time.monotonic() + START_LIMIT_S
        if not await self.change(1, START_LIMIT_S):
            return COULD_NOT_RUN
        while await self.request() != 200:
            if time.monotonic() > end:
                return COULD_NOT_RUN
            await asyncio.sleep(0.2)
        end = time.monotonic() + CHANGES_LIMIT_S
        for version in range(2, CHANGES + 2):
            if not await self.change(version, end - time.monotonic()):
                self.record.write('the changes took too long')
                return COULD_NOT_RUN
        served_before = [await self.request() for _ in range(10)].count(200)
        kills_before = sum(core.memory_kills for core in self.cores)
        self.record.write(f'served before: {served_before} of 10; memory kills: {kills_before}')
        if served_before < 10 or kills_before:
            return COULD_NOT_RUN
        if self.with_trouble:
            for core in self.cores:
                core.pause_s = DOWN_S
                core.kill()
            self.record.write('all control processes were killed')
        await asyncio.sleep(DOWN_S + RECOVER_S)
        return await self.judge(CHANGES + 1)

    async def judge(self, acknowledged):
        end = time.monotonic() + READ_S
        statuses, version = [], 0
        while time.monotonic() < end:
            statuses.append(await self.request())
            version = max(version, await self.read())
            await asyncio.sleep(0.2)
        served = statuses.count(200) / len(statuses)
        for core in self.cores:
            peak = core.peak_bytes // 2**20
            self.record.write(f'{core.name}: {core.memory_kills} memory kills, peak {peak} MB')
        self.record.write(f'read: version {version}, acknowledged: {acknowledged}')
        self.record.write(f'served: {served:.2f} of {len(statuses)} requests')
        is_broken = version < acknowledged or served < SERVED_SHARE
        self.record.write('CONFIG or RECOVER is broken' if is_broken else 'held')
        return BROKEN if is_broken else HELD


def free_port():
    """Returns the first of some ports that are free on loopback."""
    with socket.socket() as trial:
        trial.bind(('127.0.0.1', 0))
        return min(trial.getsockname()[1], 60_000)


def main():
    record = Record()
    if not (ROOT / 'target' / 'deps').is_dir():
        record.write('target/deps is missing: run the build of deploy/system.toml first')
        return COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        code = asyncio.run(Case(folder, record).play())
    record.write(f'exit code {code}')
    return code


if __name__ == '__main__':
    sys.exit(main())
