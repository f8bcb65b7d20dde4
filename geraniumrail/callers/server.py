"""Runs an aiohttp application on an address with the limits of the settings file."""

import asyncio
import ssl

from aiohttp import web

from geraniumrail.callers import events
from geraniumrail.callers.auth import KEY_RING
from geraniumrail.callers.bodies import BODY_TIMEOUT_S
from geraniumrail.callers.client_limits import ClientLimits
from geraniumrail.callers.connection import ConnectionRunner
from geraniumrail.callers.failures import answer_failures
from geraniumrail.config.key_ring import KeyRing
from geraniumrail.config.limits import LimitsConfig
from geraniumrail.config.listen import ListenConfig
from geraniumrail.core.events import log

LINE_BYTES = 8190
IDLE_CONNECTION_S = 75.0
# How long the rest of a refused body is read, so that the caller can read the answer.
REFUSED_BODY_S = 2.0


def log_refused_connection(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
    """Writes one line for a handshake that failed, as it does whenever a stranger connects.

    :param loop: the event loop.
    :param context: what it met.
    """
    error = context.get('exception')
    if isinstance(error, ssl.SSLError):
        log(events.HANDSHAKE_REFUSED, reason=str(error))
    else:
        loop.default_exception_handler(context)


class HttpServer:
    """One listening address."""

    def __init__(
        self,
        listen: ListenConfig,
        limits: LimitsConfig,
        key_ring: KeyRing,
        routes: list[web.RouteDef],
        clients: ClientLimits | None = None,
    ) -> None:
        """Builds the application.

        :param listen: address and TLS files.
        :param limits: limits on requests.
        :param key_ring: API keys.
        :param routes: route table.
        :param clients: limits of all connections of the process.
        """
        self._listen = listen
        self._limits = limits
        self._clients = clients or ClientLimits.from_machine()
        application = web.Application(middlewares=[answer_failures])
        application[KEY_RING] = key_ring
        application[BODY_TIMEOUT_S] = float(limits.body_timeout_s)
        application.add_routes(routes)
        self._runner = ConnectionRunner(
            application,
            header_timeout_s=float(limits.header_timeout_s),
            clients=self._clients,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=IDLE_CONNECTION_S,
            lingering_time=REFUSED_BODY_S,
            max_line_size=LINE_BYTES,
            max_field_size=limits.max_header_bytes,
        )
        self._site: web.TCPSite | None = None

    async def start(self) -> None:
        """Listens."""
        asyncio.get_running_loop().set_exception_handler(log_refused_connection)
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner,
            self._listen.host,
            self._listen.port,
            ssl_context=self._tls(),
            backlog=self._clients.backlog,
            shutdown_timeout=1,
        )
        await self._site.start()

    async def stop(self) -> None:
        """Stops listening and ends the connections."""
        await self._runner.cleanup()

    def _tls(self) -> ssl.SSLContext | None:
        files = self._listen.tls
        if files is None:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(files.certificate, files.key)
        if files.authority is not None:
            context.load_verify_locations(files.authority)
            context.verify_mode = ssl.CERT_REQUIRED
        return context
