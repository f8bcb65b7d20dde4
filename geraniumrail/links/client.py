"""Calls another daemon; a call without an answer replaces the connection."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

import grpc

from geraniumrail.core.refused import Refused
from geraniumrail.errors.link import LinkError
from geraniumrail.links import wire
from geraniumrail.links.method import CALL, FOLLOW, OPTIONS, RELAY
from geraniumrail.links.tls import LinkTls

# Other calls on a replaced channel may still be answered.
CLOSE_GRACE_S = 5.0
CLOSED = 'the connection was closed'


class LinkClient:
    """One address; the channel is opened at the first call."""

    def __init__(self, address: str, tls: LinkTls | None = None) -> None:
        """Prepares the client.

        :param address: ip:port of the other daemon.
        :param tls: certificate, key and authority for mutual TLS.
        """
        self.address = address
        self._tls = tls
        self._channel: grpc.aio.Channel | None = None
        self._unary: Any = None
        self._closing: set[asyncio.Task[None]] = set()

    async def call(self, request: object, timeout_s: float) -> Any:
        """Sends one record and returns the reply.

        :param request: the record.
        :param timeout_s: limit in seconds.
        :raises LinkError: without an answer; the call may have been carried out.
        :raises GeraniumrailError: the failure that the other daemon answered.
        """
        channel = self._channel
        if channel is None:
            channel = self._new_channel()
            self._channel = channel
            self._unary = channel.unary_unary(CALL, wire.encode, wire.decode)
        cancelled = _cancellations()
        try:
            reply = await self._unary(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            # The connection may have gone silent: the next call opens a new one.
            self._replace(channel)
            raise self._failure(cancelled, error.code().name) from error
        except asyncio.CancelledError as error:
            raise self._failure(cancelled, CLOSED) from error
        _raise_if_cancelled(cancelled)
        if isinstance(reply, Refused):
            raise reply.to_error()
        return reply

    def follow(self, reports: AsyncIterator[object]) -> AsyncGenerator[Any, None]:
        """Opens the stream of a follower on a new connection.

        :param reports: records to send.
        :raises LinkError: when the stream breaks.
        :raises GeraniumrailError: the failure that the other daemon answered.
        """
        return self._stream(FOLLOW, reports)

    def relay(self, records: AsyncIterator[object]) -> AsyncGenerator[Any, None]:
        """Opens the stream of one relayed connection on a new connection.

        :param records: records to send.
        :raises LinkError: when the stream breaks.
        :raises GeraniumrailError: the failure that the other daemon answered.
        """
        return self._stream(RELAY, records)

    async def _stream(
        self, method: str, reports: AsyncIterator[object]
    ) -> AsyncGenerator[Any, None]:
        channel = self._new_channel()
        stream = channel.stream_stream(method, wire.encode, wire.decode)
        cancelled = _cancellations()
        try:
            async for update in stream(reports):
                _raise_if_cancelled(cancelled)
                if isinstance(update, Refused):
                    raise update.to_error()
                yield update
            _raise_if_cancelled(cancelled)
        except grpc.aio.AioRpcError as error:
            raise self._failure(cancelled, error.code().name) from error
        except asyncio.CancelledError as error:
            raise self._failure(cancelled, CLOSED) from error
        finally:
            await asyncio.shield(channel.close())

    async def close(self) -> None:
        """Closes the connection."""
        for task in self._closing:
            task.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)
        channel = self._channel
        self._channel = None
        if channel is not None:
            await asyncio.shield(channel.close())

    def _new_channel(self) -> grpc.aio.Channel:
        if self._tls is None:
            return grpc.aio.insecure_channel(self.address, options=OPTIONS)
        credentials = self._tls.channel_credentials()
        return grpc.aio.secure_channel(self.address, credentials, options=OPTIONS)

    def _replace(self, channel: grpc.aio.Channel) -> None:
        if self._channel is not channel:
            return  # another call has replaced it
        self._channel = None
        task = asyncio.create_task(channel.close(CLOSE_GRACE_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _failure(self, cancelled: int, reason: str) -> BaseException:
        """Returns the failure of a call, or the cancellation of its own task.

        gRPC cancels the calls in progress on a channel that is closed; the tasks that wait for
        them go on. It also takes the cancellation of a task for that of its call, and raises the
        status instead if the call has failed meanwhile; such a task must end.

        :param cancelled: cancellations of the task before the call.
        :param reason: of the failure.
        """
        if _cancellations() > cancelled:
            return asyncio.CancelledError()
        return LinkError(address=self.address, reason=reason)


def _cancellations() -> int:
    """Returns how often the current task was cancelled."""
    task = asyncio.current_task()
    return 0 if task is None else task.cancelling()


def _raise_if_cancelled(cancelled: int) -> None:
    """Ends a task whose cancellation arrived together with an answer.

    :param cancelled: cancellations of the task before the call.
    :raises asyncio.CancelledError: if there were more since.
    """
    if _cancellations() > cancelled:
        raise asyncio.CancelledError
