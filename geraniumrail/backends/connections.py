"""HTTP connections to backend servers."""

import asyncio
import dataclasses
import functools
import socket
from collections.abc import Iterable
from typing import Any

from aiohttp import (
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
)
from yarl import URL

from geraniumrail.backends.answer_budget import AnswerBudget
from geraniumrail.backends.exchange import Exchange
from geraniumrail.backends.exchange_connector import EXCHANGE, ExchangeConnector
from geraniumrail.backends.guarded_handler import GuardedHandler, IdleLimits
from geraniumrail.backends.held_response import HeldResponse
from geraniumrail.backends.path import DirectPath, MakeHandler, Path
from geraniumrail.core import header_bytes
from geraniumrail.core.backend import Backend
from geraniumrail.core.byte_budget import DEFAULT_BUDGET_BYTES

# The client closes a fresh connection itself: after `Connection: close` the parser would refuse
# the whole answer if another answer follows it in the same packet.
_FRESH_HEADERS = (('Connection', 'keep-alive'),)
# Answers repeat the id of their request, whose length only the limit of callers' headers bounds.
_MAX_FIELD_BYTES = 65536


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConnectionsConfig:
    """Limits of connections."""

    connect_timeout_s: float = 1
    # Unacknowledged data for this long closes a connection whose other side was cut off.
    user_timeout_ms: int = 4000
    keep_alive_s: float = 15
    # Silence after which a probe is sent, and between probes, also without unacknowledged data.
    probe_s: int = 1
    probes: int = 3
    answer_budget_bytes: int = DEFAULT_BUDGET_BYTES  # of all answers together


class Connections:
    """Keeps idle connections for reuse; the owner closes it.

    A connection whose response was not accepted or not read to its end, or that brought more than
    its response, is closed and never reused. No connection carries one request id twice: a server
    may send a copy of the answer that the id had before, and runs the request behind it.
    """

    def __init__(
        self, reused: ClientSession, fresh: ClientSession, idle: IdleLimits, budget: AnswerBudget
    ) -> None:
        """Use `from_config`."""
        self.idle = idle
        self.budget = budget
        self._reused = reused
        self._fresh = fresh

    @classmethod
    def from_config(cls, config: ConnectionsConfig, path: Path | None = None) -> 'Connections':
        """Creates the sessions; an event loop must be running.

        :param config: limits.
        :param path: how new connections are opened; None: directly.
        """
        header_bytes.install()
        idle = IdleLimits(config.keep_alive_s)
        budget = AnswerBudget(config.answer_budget_bytes)
        handler = functools.partial(GuardedHandler, asyncio.get_running_loop(), idle, budget)
        make = functools.partial(_session, config, handler, path or DirectPath())
        return cls(
            make(force_close=False),
            make(force_close=True),
            idle,
            budget,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._reused.close()
        await self._fresh.close()

    async def request(
        self,
        backend: Backend,
        method: str,
        path: str,
        *,
        payload: bytes | None,
        headers: Iterable[tuple[str, str]],
        exchange: Exchange,
        fresh: bool = False,
    ) -> HeldResponse:
        """Sends one request and returns when the head of the response has arrived.

        The caller limits the time, calls `accept` on a response that belongs to the request, and
        calls `close`, which closes the connection unless an accepted response was read to its end.

        :param backend: where to send it.
        :param method: HTTP method.
        :param path: path with query, already percent-encoded.
        :param payload: body.
        :param headers: HTTP headers.
        :param exchange: names the request, and shows how far it has come, also after an error.
        :param fresh: open a new connection, and close it afterwards.
        :raises aiohttp.ClientError: if there is no response.
        """
        # Without the slash, `@host` in a path would name another host.
        target = path if path.startswith('/') else f'/{path}'
        session = self._fresh if fresh else self._reused
        token = EXCHANGE.set(exchange)
        try:
            return await session.request(
                method,
                URL(f'http://{backend.address}{target}', encoded=True),
                data=payload,
                headers=(*headers, *_FRESH_HEADERS) if fresh else tuple(headers),
                allow_redirects=False,
            )
        finally:
            EXCHANGE.reset(token)


def make_socket(config: ConnectionsConfig, address: tuple[Any, ...]) -> socket.socket:
    """Creates the socket of a connection.

    :param config: limits of silence, where the system has them.
    :param address: as `socket.getaddrinfo` returns it.
    """
    made = socket.socket(*address[:3])
    if hasattr(socket, 'TCP_USER_TIMEOUT'):
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, config.user_timeout_ms)
    if hasattr(socket, 'TCP_KEEPIDLE'):
        made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, config.probe_s)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, config.probe_s)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, config.probes)
    return made


def _session(
    config: ConnectionsConfig, factory: MakeHandler, path: Path, *, force_close: bool
) -> ClientSession:
    keep_alive: dict[str, Any] = {'force_close': True}
    if not force_close:
        keep_alive = {'keepalive_timeout': config.keep_alive_s}
    socket_factory = functools.partial(make_socket, config)
    connector = ExchangeConnector(
        factory=factory,
        path=path,
        limit=0,
        socket_factory=socket_factory,
        **keep_alive,
    )
    return ClientSession(
        connector=connector,
        timeout=ClientTimeout(total=None, sock_connect=config.connect_timeout_s),
        # Cookies of one caller must not reach the requests of another.
        cookie_jar=DummyCookieJar(),
        # Bodies pass through as they are; decompression could exceed the size limit.
        auto_decompress=False,
        max_field_size=_MAX_FIELD_BYTES,
        skip_auto_headers=('Accept-Encoding', 'User-Agent', 'Content-Type'),
        response_class=HeldResponse,
    )
