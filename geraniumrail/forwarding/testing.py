"""A scripted backend server and an entry's parts, for tests at the socket."""

import asyncio
import random
import socket
import struct

from geraniumrail.backends.connection_probe import refuses_connections
from geraniumrail.backends.connections import Connections, ConnectionsConfig
from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import SystemClock
from geraniumrail.core.load_report import LoadReport
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.deployment.route import Route
from geraniumrail.deployment.service import ServiceSpec
from geraniumrail.deployment.share import Share
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.outcomes import Outcomes
from geraniumrail.fairness.leaderless_admission import LeaderlessAdmission
from geraniumrail.fairness.quota import Quota
from geraniumrail.fairness.retry_budget import RetryBudget, RetryLimit
from geraniumrail.forwarding.config import ForwardingConfig
from geraniumrail.forwarding.demand import DemandCounter
from geraniumrail.forwarding.dialect import Head
from geraniumrail.forwarding.forwarder import Forwarder
from geraniumrail.forwarding.inbound import Inbound
from geraniumrail.forwarding.limit_lender import NoLender
from geraniumrail.forwarding.parts import Parts
from geraniumrail.forwarding.places import Places
from geraniumrail.forwarding.recorder import Recorder
from geraniumrail.forwarding.usage_counter import UsageCounter
from geraniumrail.links.messages import ControlUpdate
from geraniumrail.quarantine.part_watch import PartWatch
from geraniumrail.routing.backend_tracker import BackendTracker

HOST = 'bench.example'
KEY = 'key-1'
SERVICE = 'model-bench'
RESET = object()  # in a script: reset the connection
CLOSE = object()  # in a script: end the connection in order
HANG = object()  # in a script: send nothing more
# With the default of 1 s a busy machine refuses requests that no byte of was sent yet.
CONNECT_TIMEOUT_S = 30


def event(number):
    """Returns one event of a stream."""
    return f'id: {number}\ndata: piece-{number}\n\n'.encode()


def chunk(content):
    """Returns content as one chunk of a chunked body."""
    return f'{len(content):x}\r\n'.encode() + content + b'\r\n'


def head(request_id, status='200 OK', body=None, extra=''):
    """Returns the head of an answer, with a length if there is a body, else chunked."""
    size = 'Transfer-Encoding: chunked' if body is None else f'Content-Length: {len(body)}'
    signed = f'X-Request-Id: {request_id}\r\nX-Sealed: 1\r\n'
    return f'HTTP/1.1 {status}\r\n{signed}{size}\r\n{extra}\r\n'.encode() + (body or b'')


def read_load(text):
    """Decodes the numbers of running and waiting requests and of slots."""
    running, queued, slots = (int(field) for field in text.split(','))
    return LoadReport(running=running, queued=queued, slots=slots)


class TestDialect:
    """Headers of the scripted backend server."""

    def sent_headers(self, inbound, sending):
        """Names the request and where a stream goes on."""
        return (
            ('Host', inbound.host),
            ('X-Request-Id', inbound.request_id),
            ('X-Instance', sending.backend.instance),
            ('X-Organisation', sending.organisation or '-'),
            ('X-Last-Event', sending.last_event_id),
            ('X-Left-Ms', str(int(sending.left_s * 1000))),
            *inbound.headers,
        )

    def read_head(self, status, headers):
        """Reads the headers that `head` writes."""
        return Head(
            request_id=headers.get('X-Request-Id', ''),
            did_not_run='X-Not-Run' in headers,
            wrong_instance=status == 421,
            sealed='X-Sealed' in headers,
            leaving='X-Leaving' in headers,
            retry_after_s=float(headers['Retry-After']) if 'Retry-After' in headers else None,
            limit_per_s=float(headers['X-Limit']) if 'X-Limit' in headers else None,
            cold_s=float(headers['X-Cold']) if 'X-Cold' in headers else None,
            load=read_load(headers['X-Load']) if 'X-Load' in headers else None,
        )


class StandIn:
    """Answers each request with the next part of its script."""

    def __init__(self, instance, *scripts):
        self.instance = instance
        self.scripts = list(scripts)
        self.requests = []  # request line and headers of each request
        self.closed = asyncio.Event()  # a connection was closed by the entry
        self.asked = asyncio.Event()
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{self.server.sockets[0].getsockname()[1]}'
        return self

    async def stop(self):
        self.server.close()

    def backend(self, **changes):
        """Returns its announcement."""
        fields = {
            'instance': self.instance,
            'service': SERVICE,
            'address': self.address,
            'data_centre': 'shah-alam',
            'region': 'klang-valley',
            'version': 'v1',
            'sequence': 1,
            'lease_s': 600,
            'load': LoadReport(slots=8),
        }
        return Backend(**{**fields, **changes})

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('utf-8', 'surrogateescape').split('\r\n')
                self.requests.append(lines)
                self.asked.set()
                length = next((ln for ln in lines if ln.lower().startswith('content-length')), ':0')
                await reader.readexactly(int(length.partition(':')[2]))
                await self._play(self.scripts.pop(0) if self.scripts else [HANG], writer, reader)
        except (OSError, asyncio.IncompleteReadError):
            self.closed.set()
        finally:
            writer.close()

    async def _play(self, script, writer, reader):
        for step in script:
            if step is RESET:
                # Without lingering, closing sends a reset and no orderly end.
                linger = struct.pack('ii', 1, 0)
                connection = writer.get_extra_info('socket')
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                raise ConnectionResetError
            if step is CLOSE:
                writer.close()
                raise ConnectionResetError
            if step is HANG:
                await reader.read(1)
                raise ConnectionResetError
            if isinstance(step, float):
                await asyncio.sleep(step)
                continue
            writer.write(step)
            await writer.drain()


class CopyingStandIn(StandIn):
    """Runs a request that comes again on its connection behind a copy of the earlier answer.

    The scripts are the answers to the first requests, as functions of the request's id; all others
    run and succeed.
    """

    def __init__(self, instance, *scripts):
        super().__init__(instance, *scripts)
        self.runs = []  # ids of the requests that it ran
        self._answers_by_writer = {}
        self.copies = 0

    async def _play(self, script, writer, reader):
        lines = self.requests[-1]
        request_id = next(ln for ln in lines if ln.startswith('X-Request-Id')).split()[1]
        answers = self._answers_by_writer.setdefault(writer, {})
        earlier = answers.get(request_id)
        if earlier is not None:
            self.copies += 1
            self.runs.append(request_id)
            writer.write(earlier)
            script = [HANG]
        elif script == [HANG]:
            self.runs.append(request_id)
            script = [head(request_id, body=event(1))]
        else:
            script = [step(request_id) if callable(step) else step for step in script]
            answers[request_id] = b''.join(step for step in script if isinstance(step, bytes))
        await super()._play(script, writer, reader)


class Reply:
    """Records an answer."""

    def __init__(self):
        self.status = None
        self.headers = ()
        self.content = b''
        self.ended = ''
        self.error = None
        self.writes = asyncio.Queue()

    @property
    def started(self):
        return self.status is not None

    async def answer(self, status, headers, body):
        self.status, self.headers, self.content, self.ended = status, headers, body, 'whole'

    async def refuse(self, error):
        self.error, self.status, self.ended = error, error.status, 'refused'

    async def start(self, status, headers):
        self.status, self.headers = status, headers

    async def write(self, content):
        self.content += content
        self.writes.put_nowait(content)

    async def finish(self):
        self.ended = 'whole'

    def abort(self):
        self.ended = 'broken'


def route(**changes):
    """Returns a route of the service."""
    fields = {
        'name': 'route-1',
        'host': HOST,
        'prefix': '/desk/',
        'kind': 'safe',
        'shares': (Share(service=SERVICE, weight=1),),
        'timeout_s': 5,
        'attempts': 2,
    }
    return Route(**{**fields, **changes})


def inbound(clock, **changes):
    """Returns a request with a key."""
    fields = {
        'request_id': 'req-1',
        'method': 'GET',
        'target': '/desk/a%2Fb?x=1',
        'host': HOST,
        'headers': (),
        'api_key': KEY,
        'arrived_at': clock.now(),
    }
    return Inbound(**{**fields, **changes})


def make_forwarder(
    routes, backends, *, version=1, lease_s=60, dialect=None, engine=None, **organisation
):
    """Builds a forwarder whose view has one configuration and some backend servers."""
    clock = SystemClock()
    view = ClusterView(clock, BackendTracker())
    holder = Organisation(name='salon', keys=(KEY,), **organisation)
    deployment = Deployment(
        version=version,
        routes=tuple(routes),
        services=(ServiceSpec(name=SERVICE, engine=engine),),
        organisations=(holder,),
    )
    update = ControlUpdate(
        term=1,
        answers=1,
        lease_s=lease_s,
        revision=0,
        deployment_version=version,
        deployment=deployment,
        backends=tuple(backends),
        window_s=5,
    )
    view.take(update, clock.now())
    parts = Parts(
        view=view,
        watch=PartWatch(clock, refuses_connections),
        outcomes=Outcomes(view, clock),
        connections=Connections.from_config(ConnectionsConfig(connect_timeout_s=CONNECT_TIMEOUT_S)),
        dialect=dialect or TestDialect(),
        quota=Quota(),
        lender=NoLender(),
        leaderless=LeaderlessAdmission(random.Random(1)),
        retries=RetryBudget(RetryLimit(), lambda: 1),
        usage=UsageCounter(),
        demand=DemandCounter(),
        places=Places(view, clock),
        clock=clock,
        rng=random.Random(1),
        recorder=Recorder(),
        config=ForwardingConfig(),
        data_centre='shah-alam',
        region='klang-valley',
    )
    return Forwarder(parts)
