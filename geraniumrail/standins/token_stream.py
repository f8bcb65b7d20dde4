"""Writes the events of one completion, with the faults that tests switch on."""

import asyncio
import os
from collections.abc import Awaitable, Callable

from aiohttp import web

from geraniumrail.standins.batch import Batch
from geraniumrail.standins.completion_format import DONE, CompletionFormat
from geraniumrail.standins.faults import Fault, Faults

_EXIT_CODE = 70
_Writer = Callable[[int, str, Fault], Awaitable[None]]


class TokenStream:
    """One streamed answer."""

    def __init__(
        self,
        request: web.Request,
        shape: CompletionFormat,
        faults: Faults,
        routes: tuple[str, ...],
    ) -> None:
        """Creates the stream; `run` sends it.

        :param request: the request to answer.
        :param shape: builds the events.
        :param faults: switches.
        :param routes: names that the conditions of faults are compared with.
        """
        self._request = request
        self._shape = shape
        self._faults = faults
        self._routes = routes
        self._sent: list[tuple[int, str]] = []
        self._response = web.StreamResponse(headers={'Content-Type': 'text/event-stream'})
        self._writers_by_mode: dict[str, _Writer] = {
            'crossed': self._crossed,
            'duplicate': self._duplicate,
            'late': self._late,
            'gap': self._gap,
        }

    async def run(self, batch: Batch, slow: float, *, usage: bool) -> web.StreamResponse:
        """Sends the whole answer.

        :param batch: computes the tokens.
        :param slow: factor on all times.
        :param usage: send the usage before the end.
        """
        running = batch.running
        modes = ('die', *self._writers_by_mode)
        faults = [self._faults.hit(mode, self._routes, running) for mode in modes]
        hits = [fault for fault in faults if fault is not None]
        await self._response.prepare(self._request)
        async for offset, text in batch.tokens(self._shape.work, slow):
            await self._faults.obey_silence(self._request.protocol)
            await self._send(offset, text, hits)
        work = self._shape.work
        reason = 'length' if work.state == 'finished' else 'cancelled'
        end = work.offset + work.computed
        await self._response.write(self._shape.event(end, '', finish_reason=reason, tokens=0))
        if usage:
            await self._response.write(self._shape.usage_event())
        await self._response.write(DONE)
        return self._response

    async def _send(self, offset: int, text: str, hits: list[Fault]) -> None:
        position = len(self._sent)
        self._sent.append((offset, text))
        for fault in hits:
            if fault.mode == 'die' and position == fault.after_tokens:
                await self._die(fault.how)
            elif fault.mode != 'die' and position >= fault.after_tokens:
                await self._writers_by_mode[fault.mode](offset, text, fault)
                return
        await self._response.write(self._shape.event(offset, text))

    async def _die(self, how: str) -> None:
        if how == 'exit':
            os._exit(_EXIT_CODE)  # noqa: WPS437 - the fault is an exit without any cleanup
        transport = self._request.transport
        if transport is not None and how == 'end':
            transport.close()
        elif transport is not None:
            transport.abort()
        raise ConnectionResetError(how)

    async def _crossed(self, offset: int, text: str, fault: Fault) -> None:
        """Sends a chunk of another attempt or request before the right one."""
        work = self._shape.work
        other = {'request_id': 'request-of-another'}
        crossed = self._shape.event(offset, 'CROSSED ', **other)
        if fault.how == 'attempt':
            crossed = self._shape.event(offset, 'CROSSED ', attempt=work.attempt - 1)
        await self._response.write(crossed)
        if fault.how != 'replace':
            await self._response.write(self._shape.event(offset, text))

    async def _duplicate(self, offset: int, text: str, fault: Fault) -> None:
        event = self._shape.event(offset, text)
        await self._response.write(event)
        await self._response.write(event)

    async def _late(self, offset: int, text: str, fault: Fault) -> None:
        """Sends the first chunk again, or joined with all that followed, after a delay."""
        await self._response.write(self._shape.event(offset, text))
        await asyncio.sleep(fault.delay_s)
        old_offset, old_text = self._sent[0]
        tokens = 1
        if fault.how == 'overlap':
            old_text = ''.join(sent for _, sent in self._sent)
            tokens = len(self._sent)
        await self._response.write(self._shape.event(old_offset, old_text, tokens=tokens))

    async def _gap(self, offset: int, text: str, fault: Fault) -> None:
        """Leaves out one chunk."""
        if len(self._sent) - 1 > fault.after_tokens:
            await self._response.write(self._shape.event(offset, text))
