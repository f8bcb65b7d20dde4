"""One attempt at one backend server; the error says whether the request may have run."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError

from geraniumrail.backends.connections import Connections
from geraniumrail.backends.exchange import Exchange, ResendError, WithdrawnError
from geraniumrail.backends.held_response import HeldResponse
from geraniumrail.backends.service_call import CONNECTION_HEADERS, end_to_end
from geraniumrail.core.backend import Backend
from geraniumrail.core.header_bytes import text_of
from geraniumrail.errors.backend import (
    ConnectionLostError,
    CrossedAnswerError,
    NotSentError,
    RefusedError,
    WithdrawnSendError,
)
from geraniumrail.forwarding.dialect import Dialect, Head, Sending
from geraniumrail.forwarding.inbound import Headers, Inbound

MAX_REASON = 300  # characters of a reason in a line of the log
_SUCCESS = range(200, 300)
_FAILURES = (
    ClientError,
    HttpProcessingError,
    OSError,
    ResendError,
    ValueError,
    WithdrawnError,
)


class Attempt:
    """A request that is sent once; `close` it unless its answer was read to the end."""

    def __init__(self, inbound: Inbound, sending: Sending, dialect: Dialect) -> None:
        """Prepares the attempt.

        :param inbound: the caller's request.
        :param sending: what is sent with it.
        :param dialect: headers of the backend servers.
        """
        self.sending = sending
        self.head = Head()
        self.status = 0
        self.headers: Headers = ()
        self.exchange = Exchange(request_id=inbound.request_id)
        self._inbound = inbound
        self._dialect = dialect
        self._response: HeldResponse | None = None

    @property
    def backend(self) -> Backend:
        """The backend server."""
        return self.sending.backend

    @property
    def is_success(self) -> bool:
        """Whether the backend server answered with a success that it signed."""
        return self.status in _SUCCESS and self.head.sealed

    async def open(self, connections: Connections) -> None:
        """Sends the request and reads the head of the answer.

        :param connections: to backend servers.
        :raises NotSentError: if no byte was written: it did not run.
        :raises RefusedError: if the backend server says that it did not run.
        :raises ConnectionLostError: for all other failures: it may have run.
        """
        async with self._typed_failures():
            self._response = await connections.request(
                self.backend,
                self._inbound.method,
                self._inbound.target,
                payload=self._inbound.body or None,
                headers=self._dialect.sent_headers(self._inbound, self.sending),
                exchange=self.exchange,
            )
        self._take_head(self._response, connections)

    async def read(self) -> bytes:
        """Returns the whole body.

        :raises ConnectionLostError: if it is not complete.
        """
        async with self._typed_failures():
            return await self._opened().read()

    async def parts(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        :raises ConnectionLostError: if it is not complete.
        """
        response = self._opened()
        while True:
            async with self._typed_failures():
                part = await response.content.readany()
            if not part:
                return
            held = response.held_bytes
            yield part
            response.pass_on(held)

    def close(self) -> None:
        """Closes the connection unless the answer names this request and was read to its end."""
        if self._response is not None:
            self._response.close()

    def _opened(self) -> HeldResponse:
        if self._response is None:
            raise NotSentError(backend=self.backend.instance, reason='the request was not sent')
        return self._response

    def _take_head(self, response: HeldResponse, connections: Connections) -> None:
        self.status = response.status
        self.headers = end_to_end(
            tuple((text_of(name), text_of(value)) for name, value in response.raw_headers),
            CONNECTION_HEADERS,
        )
        self.head = self._dialect.read_head(response.status, response.headers)
        if self.head.idle_s is not None:
            connections.idle.announce(self.backend.address, self.head.idle_s)
        self._check_head(response)

    def _check_head(self, response: HeldResponse) -> None:
        answered = self.head.request_id
        if answered and answered != self._inbound.request_id:
            response.close()
            raise CrossedAnswerError(
                backend=self.backend.instance,
                found=answered,
                expected=self._inbound.request_id,
            )
        is_refusal = self.head.did_not_run or self.head.wrong_instance
        if is_refusal and not answered:
            # It may repeat an earlier refusal, so it promises nothing about this request.
            response.close()
            raise ConnectionLostError(
                backend=self.backend.instance, reason='a refusal that names no request'
            )
        if answered:
            response.accept()
        if is_refusal:
            raise RefusedError(
                backend=self.backend.instance,
                reason=f'status {response.status}',
                wrong_instance=self.head.wrong_instance,
                retry_after_s=self.head.retry_after_s,
            )

    @contextlib.asynccontextmanager
    async def _typed_failures(self) -> AsyncIterator[None]:
        try:
            yield
        except _FAILURES as error:
            # Timeouts of connections are among them; the time of the request ends elsewhere.
            raise self._typed(error) from error

    def _typed(self, error: Exception) -> NotSentError | ConnectionLostError:
        kind = ConnectionLostError if self.exchange.connected else NotSentError
        if isinstance(error, WithdrawnError):
            kind = WithdrawnSendError
        # The HTTP library quotes what it could not read, up to a whole block of it.
        return kind(backend=self.backend.instance, reason=repr(error)[:MAX_REASON])


async def has_ended(backend: Backend, timeout_s: float) -> bool:
    """Returns whether a backend server takes no connection any more.

    :param backend: the backend server.
    :param timeout_s: limit in seconds.
    """
    host, _, port = backend.address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return True
    writer.close()
    return False
