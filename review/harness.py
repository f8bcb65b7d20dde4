"""A small deployment on loopback addresses, for the scripts of the review.

The daemons are started with the commands of deploy/system.toml. Backend servers, the platform's
API, the operator and the clients are stand-ins in the process of the script; they use the standard
library only and do what the users' pages say of them.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
ANSWER_LIMIT_S = 1.0  # a call of a backend server or of the operator goes elsewhere after it
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'maxSkewMs': 5000,
    'strictRevoke': True,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 58,
    'quotaWindowS': 8,
    'quotaOverage': 0.1,
    'quotaSlack': 110000,
    'requireFence': True,
    'leaseMs': 3000,
    'thawSlackMs': 300,
    'usageWindowS': 5,
    'usageError': 0.05,
    'usageLateS': 10,
    'exposureShare': 0.1,
    'exposureSlack': 50,
    'rollbackMs': 5000,
    'recoverS': 12,
    'passMs': 120,
    'reuseWindowS': 9.6,
    'ttl_max_s': 5,
}
ZONES = ('shah-alam', 'petaling', 'cheras')
REGION = 'klang-valley'
HOST = 'ficu95.example'
TENANT, KEY = 'hule930', 'i9n73hh2b9wu3fexd9dn'


class CaseError(Exception):
    """The case could not run."""


@dataclasses.dataclass(frozen=True)
class Ports:
    """The same on all machines, as in a deployment."""

    control: int
    front: int
    readiness: int
    directory: int
    first: int
    backend: int


@dataclasses.dataclass(frozen=True)
class Answer:
    """One HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Record:
    """What was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


class Node:
    """One daemon; its output goes to a file of the temporary folder."""

    def __init__(self, name: str, ip: str, role: str, settings: dict, folder: pathlib.Path) -> None:
        self.name = name
        self.ip = ip
        self.settings = settings
        self._folder = folder
        self._path = folder / f'{name}.yaml'
        self._command = _command(role)
        self._process: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    def change_settings(self, changed: dict) -> None:
        self.settings = {**self.settings, **changed}
        self._path.write_text(json.dumps(self.settings), encoding='utf-8')  # JSON is YAML

    def start(self) -> None:
        self.change_settings({})
        kept = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        environment = {
            **kept,
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'GERANIUMRAIL_SETTINGS': str(self._path),
        }
        with (self._folder / f'{self.name}.out').open('ab') as output:
            self._process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.settings = {**self.settings, 'bootstrap': False}

    def send(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._process.send_signal(number)

    def exit_code(self) -> int | None:
        assert self._process is not None
        return self._process.poll()

    def kill(self) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def output(self) -> str:
        return (self._folder / f'{self.name}.out').read_text(errors='replace')


class Deployment:
    """Control processes, entries, and the stand-ins of the platform."""

    def __init__(self, folder: pathlib.Path, record: Record, fronts: int, memory_mb: int) -> None:
        self.record = record
        self.ports = Ports(*_free_ports(6))
        self._base = f'127.{random.randrange(20, 120)}.{random.randrange(1, 250)}'
        self.folder = folder
        self.memory_mb = memory_mb
        self.controls = [
            self._node(f'core-{zone}-1', f'{self._base}.{10 + at}', 'control', zone)
            for at, zone in enumerate(ZONES)
        ]
        self.fronts = [
            self._node(
                f'front-{ZONES[at % 3]}-{at}', f'{self._base}.{20 + at}', 'entry', ZONES[at % 3]
            )
            for at in range(fronts)
        ]
        self._hosts = itertools.count(100)

    @property
    def cloud(self) -> str:
        return f'{self._base}.5:{self.ports.backend}'

    def new_address(self) -> str:
        return f'{self._base}.{next(self._hosts)}:{self.ports.backend}'

    def controls_addresses(self) -> list[str]:
        return [f'{node.ip}:{self.ports.control}' for node in self.controls]

    def front_addresses(self) -> list[str]:
        return [f'{node.ip}:{self.ports.front}' for node in self.fronts]

    def start(self) -> None:
        for node in (*self.controls, *self.fronts):
            node.start()

    def stop(self) -> None:
        for node in (*self.controls, *self.fronts):
            node.kill()

    def _node(self, name: str, ip: str, role: str, zone: str) -> Node:
        ports = self.ports
        is_entry = role == 'entry'
        data_folder = self.folder / 'data' / name
        data_folder.mkdir(parents=True)
        listen = {'control': f'{ip}:{ports.control}'}
        if is_entry:
            listen = {
                'front': f'{ip}:{ports.front}',
                'readiness': f'{ip}:{ports.readiness}',
                'directory': f'{ip}:{ports.directory}',
            }
        settings = {
            'node': name,
            'role': role,
            'machineClass': 'front' if is_entry else 'core',
            'serves': ['front', 'directory'] if is_entry else ['control'],
            'ip': ip,
            'zone': zone,
            'region': REGION,
            'zones': dict.fromkeys(ZONES, REGION),
            'listen': listen,
            'portRange': [ports.first, ports.first + 15],
            'seeds': [f'{self._base}.{10 + at}:{ports.control}' for at in range(3)],
            'bootstrap': True,
            'faultCounted': not is_entry,
            'limits': {
                'cpuShare': 0.717 if is_entry else 0.645,
                'cores': 3 if is_entry else 1,
                'memoryMb': self.memory_mb if is_entry else 296,
                'maxFds': 8200 if is_entry else 4096,
                'linkMbps': 2000.0 if is_entry else 1000.0,
                'diskMb': 0 if is_entry else 128,
            },
            'dataDir': None if is_entry else str(data_folder),
            'discovery': 'registry',
            'entry': 'directory',
            'heartbeatMs': 1200,
            'contracts': [],
            'tolerate': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'configMode': 'highest',
            'cloud': {
                'address': f'{self._base}.5:{ports.backend}',
                'ratePerS': 50.0,
                'duties': ['usage_report', 'autoscale'],
                'dutyPerS': 50.0,
            },
        }
        return Node(name, ip, role, settings, self.folder)


Respond = Callable[['Backend', str, dict[str, str], asyncio.StreamWriter], Awaitable[bool]]


class Backend:
    """A plain service: answers, announces itself, and leaves as the pages say."""

    def __init__(
        self, deployment: Deployment, instance: str, service: str, zone: str, work_s: float = 0.03
    ) -> None:
        self.instance = instance
        self.address = deployment.new_address()
        self.runs: list[tuple[float, str]] = []  # time and id of each request that ran
        self.respond: Respond = answer_well
        self.announces = True
        self.work_s = work_s
        self.acknowledged = asyncio.Event()  # set by each acknowledged heartbeat
        self.leader_hint = ''
        self._deployment = deployment
        self._record = deployment.record
        self._service = service
        self._zone = zone
        self._numbers = itertools.count(1)
        self._born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.create_task(self._announce())

    async def stop(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        await close_server(self._server, self._writers)

    def note(self, text: str) -> None:
        self._record.note(f'{self.instance}: {text}')

    def beat_body(self) -> dict:
        return {
            'service': self._service,
            'address': self.address,
            'zone': self._zone,
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'coldLeftMs': 0,
            'seqNo': next(self._numbers),
            'born': self._born,
        }

    async def leave(self) -> float:
        """Sends the deregistration until it is acknowledged; returns when that was."""
        self.announces = False
        targets = self._targets()
        while True:
            target = next(targets)
            answer = await call(target, 'POST', f'/v1/Instances.Deregister/{self.instance}', b'')
            if answer is not None and answer.status == 200:
                at = self._record.now()
                self._record.note(f'{self.instance} is acknowledged as gone by {target}')
                return at
            await asyncio.sleep(0.05)

    async def _announce(self) -> None:
        targets = self._targets()
        while True:
            began = time.monotonic()
            body = json.dumps(self.beat_body()).encode()
            acknowledged = False
            while self.announces and not acknowledged:
                target = self.leader_hint or next(targets)
                path = f'/v1/Instances.Heartbeat/{self.instance}'
                answer = await call(target, 'POST', path, body)
                acknowledged = answer is not None and answer.status == 200
                if acknowledged:
                    self.acknowledged.set()
                    self.leader_hint = json.loads(answer.body).get('heartbeatAddr', '')
                else:
                    self.leader_hint = ''
                    await asyncio.sleep(0.05)
            await asyncio.sleep(max(0.01, HEARTBEAT_S - (time.monotonic() - began)))

    def _targets(self):
        addresses = self._deployment.controls_addresses()
        random.shuffle(addresses)
        return itertools.cycle(addresses)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while True:
                line, headers, _ = await read_message(reader)
                if headers.get('x-expect-instance', self.instance) != self.instance:
                    writer.write(
                        b'HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: '
                        + self.instance.encode()
                        + b'\r\nContent-Length: 0\r\n\r\n'
                    )
                    continue
                if 'x-request-id' in headers:
                    self.runs.append((self._record.now(), headers['x-request-id']))
                    self._record.note(f'{self.instance} runs {headers["x-request-id"]}')
                if not await self.respond(self, line, headers, writer):
                    break
        writer.close()


async def answer_well(
    backend: Backend, line: str, headers: dict[str, str], writer: asyncio.StreamWriter
) -> bool:
    """Works for a while and answers 800 bytes."""
    await asyncio.sleep(backend.work_s)
    await send_answer(headers, writer, b'x' * 800)
    return True


async def send_answer(
    headers: dict[str, str], writer: asyncio.StreamWriter, body: bytes, status: str = '200 OK'
) -> None:
    """Sends a whole answer."""
    name = headers.get('x-request-id', '')
    head = (
        f'HTTP/1.1 {status}\r\nX-Request-Id: {name}\r\nX-Response-Seal: seal-{name}\r\n'
        f'X-Engine-Load: 1,0,6\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body)
    await writer.drain()


class Cloud:
    """The platform's API: accepts every call of the duties."""

    def __init__(self, deployment: Deployment) -> None:
        self._address = deployment.cloud
        self._record = deployment.record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, _, port = self._address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        await close_server(self._server, self._writers)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while True:
                line, headers, body = await read_message(reader)
                holder, fence = headers.get('x-duty-holder'), headers.get('x-fence-token')
                self._record.note(f'platform gets {line} {holder} {fence} {body.decode()}')
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
                await writer.drain()
        writer.close()


async def close_server(server: asyncio.Server | None, writers: set[asyncio.StreamWriter]) -> None:
    """Stops listening and closes the connections."""
    if server is not None:
        server.close()
    for writer in writers:
        writer.close()
    await asyncio.sleep(0.05)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Returns the first line, the headers in lower case and the body of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    headers = {name.strip().lower(): text.strip() for name, _, text in pairs}
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        return first, headers, await _read_chunks(reader)
    return first, headers, await reader.readexactly(int(headers.get('content-length', 0)))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readuntil(b'\r\n')).strip() or b'0', 16)
        parts.append(await reader.readexactly(size))
        await reader.readuntil(b'\r\n')
        if not size:
            return b''.join(parts)


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes,
    limit_s: float = ANSWER_LIMIT_S,
    held_s: float = 0,
) -> Answer | None:
    """Sends one call on a new connection; None without a whole answer in time.

    :param address: ip:port.
    :param method: HTTP method.
    :param path: path.
    :param body: body.
    :param limit_s: time until the answer.
    :param held_s: how long the network holds up the bytes.
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            await asyncio.sleep(held_s)
            writer.write(
                f'{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'.encode()
                + body
            )
            line, headers, content = await read_message(reader)
            return Answer(int(line.split()[1]), headers, content)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Client:
    """Sends requests to one entry on a kept connection, one after the other."""

    def __init__(self, address: str, record: Record) -> None:
        self.address = address
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self, path: str, method: str = 'GET', limit_s: float = 4.0, body: bytes = b''
    ) -> tuple[str, Answer | None]:
        """Returns the id and the answer; None without a whole answer in time."""
        name = random.randbytes(8).hex()
        try:
            async with asyncio.timeout(limit_s):
                await self._connect()
                self._writer.write(request_bytes(name, path, method, limit_s, body))
                line, headers, content = await read_message(self._reader)
                return name, Answer(int(line.split()[1]), headers, content)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return name, None

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _connect(self) -> None:
        if self._writer is None:
            host, _, port = self.address.rpartition(':')
            self._reader, self._writer = await asyncio.open_connection(host, int(port))


def request_bytes(
    name: str, path: str, method: str = 'GET', limit_s: float = 4.0, body: bytes = b''
) -> bytes:
    """Returns a request of a client."""
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\n'
        f'X-Deadline-Ms: {int(limit_s * 1000)}\r\nAuthorization: Bearer {KEY}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def send_all(
    address: str, path: str, interval_s: float, record: Record, stop: asyncio.Event
) -> list[str]:
    """Sends bookings to one entry until told to stop; returns the ids of those without success."""
    client = Client(address, record)
    failed = []
    while not stop.is_set():
        name, answer = await client.send(path, 'POST', body=b'a booking')
        status = 'no answer' if answer is None else answer.status
        if status != 200:
            failed.append(name)
        record.note(f'{name} through {address}: {status}')
        await asyncio.sleep(interval_s)
    client.close()
    return failed


async def just_after_a_beat(backend: Backend) -> None:
    """Returns when a heartbeat has just been acknowledged."""
    backend.acknowledged.clear()
    await backend.acknowledged.wait()


def leader_of(deployment: Deployment, backend: Backend) -> Node:
    """Returns the control process to which a backend server was sent."""
    host = backend.leader_hint.rpartition(':')[0]
    found = [node for node in deployment.controls if node.ip == host]
    if not found:
        raise CaseError('no leader is named')
    return found[0]


async def put_config(deployment: Deployment, config: dict) -> None:
    """Sends a configuration to one control process after the other until it is acknowledged."""
    body = json.dumps(config).encode()
    for address in itertools.cycle(deployment.controls_addresses()):
        answer = await call(address, 'POST', '/v1/Config.Replace', body)
        if answer is not None and answer.status == 200:
            deployment.record.note(f'config {config["version"]} is acknowledged by {address}')
            return
        await asyncio.sleep(0.1)


def config(version: int = 1, timeout_ms: int = 2000, kind: str = 'safe') -> dict:
    """Returns a configuration with one plain service."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'r-lookup',
                'host': HOST,
                'pathPrefix': '/cufi504/',
                'kind': kind,
                'timeoutMs': timeout_ms,
                'targetLatencyMs': 400,
                'priority': 2,
                'service': 'wuno96b',
                'attempts': 2 if kind == 'safe' else 1,
                'anonymous': False,
                'sticky': False,
                'resumable': False,
            }
        ],
        'services': [
            {
                'name': 'wuno96b',
                'healthCheck': '/healthz',
                'maxConns': 110,
                'protocol': 'h1',
                'tls': False,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {'name': TENANT, 'apiKeys': [KEY], 'priority': 1, 'unit': '', 'ratePerS': 0, 'burst': 0}
        ],
    }


async def wait_until_served(deployment: Deployment, path: str, limit_s: float = 30) -> None:
    """Waits until every entry answers a request with success."""
    end = time.monotonic() + limit_s
    for address in deployment.front_addresses():
        while True:
            client = Client(address, deployment.record)
            _, answer = await client.send(path)
            client.close()
            if answer is not None and answer.status == 200:
                break
            if time.monotonic() > end:
                raise CaseError(f'{address} does not serve')
            await asyncio.sleep(0.2)


def run_case(
    record_path: pathlib.Path,
    case: Callable[[Deployment, bool], Awaitable[bool]],
    fronts: int = 2,
    memory_mb: int = 560,
) -> int:
    """Runs a case in a temporary folder; returns the exit code of the script.

    :param record_path: where to write the record.
    :param case: returns whether the rule was kept; told whether the disruption takes place.
    :param fronts: number of entries.
    :param memory_mb: limit of an entry.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(record_path)
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(pathlib.Path(name), record, fronts, memory_mb)
        try:
            kept = asyncio.run(asyncio.wait_for(_run(deployment, case, trouble), 110))
        except (CaseError, TimeoutError, OSError) as error:
            record.note(f'the case could not run: {error!r}')
            print('could not run:', repr(error))
            if os.environ.get('KEEP'):
                print(*(node.output()[-1500:] for node in deployment.fronts), sep='\n')
            return COULD_NOT_RUN
        finally:
            deployment.stop()
            if os.environ.get('KEEP'):
                for node in (*deployment.controls, *deployment.fronts):
                    target = pathlib.Path(os.environ['KEEP']) / f'{node.name}.out'
                    target.write_text(node.output())
    verdict = 'the rule was kept' if kept else 'THE RULE WAS BROKEN'
    record.note(verdict)
    print(verdict)
    return HELD if kept else BROKEN


async def _run(deployment: Deployment, case: Callable, trouble: bool) -> bool:
    cloud = Cloud(deployment)
    await cloud.start()
    deployment.start()
    try:
        return await case(deployment, trouble)
    finally:
        await cloud.stop()


def _command(role: str) -> list[str]:
    roles = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())['roles']
    program, *words = roles[role]['run'].split()
    return [sys.executable if program == 'python3' else program, *words]


def _free_ports(count: int) -> list[int]:
    """Returns ports that are free on loopback, each with room for the traffic between daemons."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 30000, 20)
        with socket.socket() as probe:
            try:
                probe.bind(('0.0.0.0', port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports
