"""Calls another daemon; a call without an answer replaces the connection."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import grpc

from geraniumrail.core import codec
from geraniumrail.core.refused import Refused
from geraniumrail.errors.link import LinkError
from geraniumrail.links.method import CALL, FOLLOW, OPTIONS
from geraniumrail.links.tls import LinkTls


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

    async def call(self, request: object, timeout_s: float) -> Any:
        """Sends one record and returns the reply.

        :param request: the record.
        :param timeout_s: limit in seconds.
        :raises LinkError: without an answer; the call may have been carried out.
        :raises GeraniumrailError: the failure that the other daemon answered.
        """
        self._open()
        channel = self._channel
        try:
            reply = await self._unary(request, timeout=timeout_s)
        except asyncio.CancelledError as error:
            # Closing a channel cancels its calls; that must not look as if the caller's task had
            # been cancelled, which would end it without a trace.
            _raise_if_task_cancelled(error)
            raise LinkError(address=self.address, reason='the connection was replaced') from error
        except grpc.aio.AioRpcError as error:
            # The connection may have gone silent: the next call opens a new one.
            await self._discard(channel)
            raise LinkError(address=self.address, reason=error.code().name) from error
        if isinstance(reply, Refused):
            raise reply.to_error()
        return reply

    async def follow(self, reports: AsyncIterator[object]) -> AsyncIterator[Any]:
        """Opens the stream of a follower on a new connection.

        :param reports: records to send.
        :raises LinkError: when the stream breaks.
        :raises GeraniumrailError: the failure that the other daemon answered.
        """
        channel = self._new_channel()
        stream = channel.stream_stream(FOLLOW, codec.encode, codec.decode)
        try:
            async for update in stream(reports):
                if isinstance(update, Refused):
                    raise update.to_error()
                yield update
        except grpc.aio.AioRpcError as error:
            raise LinkError(address=self.address, reason=error.code().name) from error
        finally:
            await asyncio.shield(channel.close())

    async def close(self) -> None:
        """Closes the connection."""
        await self._discard(self._channel)

    def _open(self) -> None:
        if self._channel is None:
            self._channel = self._new_channel()
            self._unary = self._channel.unary_unary(CALL, codec.encode, codec.decode)

    def _new_channel(self) -> grpc.aio.Channel:
        if self._tls is None:
            return grpc.aio.insecure_channel(self.address, options=OPTIONS)
        credentials = self._tls.channel_credentials()
        return grpc.aio.secure_channel(self.address, credentials, options=OPTIONS)

    async def _discard(self, channel: grpc.aio.Channel | None) -> None:
        if channel is None:
            return
        if self._channel is channel:
            self._channel = None
        await asyncio.shield(channel.close())


def _raise_if_task_cancelled(error: asyncio.CancelledError) -> None:
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise error
