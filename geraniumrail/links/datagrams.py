"""Questions to other daemons in single datagrams.

A call over gRPC costs a control process between one and two milliseconds; a question that is asked
for each of many requests has to cost less. Datagrams may be lost, so a question is repeated under
its number, and the answer to it is given again.
"""

import asyncio
import collections
import contextlib
import random
from collections.abc import Callable
from typing import Any

from geraniumrail.core.codec import record
from geraniumrail.core.events import log
from geraniumrail.core.malformed import MALFORMED
from geraniumrail.errors.link import LinkError
from geraniumrail.links import events, wire

Handler = Callable[[Any], object]
Address = tuple[str, int]

# Answers that are given again; a question is repeated for about a second.
KEPT_ANSWERS = 4096
FIRST_NUMBER_BITS = 48  # a daemon that starts again must not repeat the numbers of its last start


@record
class Question:
    """One question."""

    number: int
    content: bytes


@record
class Answer:
    """The answer to the question with the same number."""

    number: int
    content: bytes


class Datagrams(asyncio.DatagramProtocol):
    """Asks and answers at the address of the daemon's links."""

    def __init__(self, listen: str) -> None:
        """Prepares the socket.

        :param listen: ip:port; port 0 takes a free one.
        """
        self.address = listen
        self._handlers_by_type: dict[type, Handler] = {}
        self._number = random.getrandbits(FIRST_NUMBER_BITS)
        self._waiting_by_number: dict[int, asyncio.Future[Any]] = {}
        self._answers: collections.OrderedDict[tuple[Address, int], bytes] = (
            collections.OrderedDict()
        )
        self._transport: asyncio.DatagramTransport | None = None

    def register(self, question: type, handler: Handler) -> None:
        """Answers one type of record.

        :param question: the record class.
        :param handler: returns the answer at once.
        """
        self._handlers_by_type[question] = handler

    async def start(self) -> None:
        """Listens."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=_host_and_port(self.address)
        )
        host, port = transport.get_extra_info('sockname')
        self.address = f'{host}:{port}'
        self._transport = transport

    def stop(self) -> None:
        """Stops listening."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    async def ask(self, address: str, question: object, timeout_s: float, tries: int) -> Any:
        """Returns the answer of the daemon at an address.

        :param address: ip:port.
        :param question: a record.
        :param timeout_s: how long each try waits.
        :param tries: how often the question is sent at most.
        :raises LinkError: without an answer.
        """
        self._number += 1
        number = self._number
        datagram = wire.encode(Question(number=number, content=wire.encode(question)))
        answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting_by_number[number] = answer
        try:
            for _ in range(tries):
                self._send(datagram, _host_and_port(address))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(timeout_s):
                        return await asyncio.shield(answer)
        finally:
            self._waiting_by_number.pop(number)
        raise LinkError(address=address, reason='no datagram came back')

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Takes one datagram; a malformed one is dropped.

        :param data: what was sent.
        :param addr: who sent it.
        """
        try:
            self._take(wire.decode(data), addr)
        except MALFORMED as error:  # also a record that this version does not know
            log(events.DATAGRAM_DROPPED, sender=addr[0], size=len(data), reason=str(error))

    def error_received(self, exc: OSError) -> None:
        """Takes a failure of an earlier datagram; its question is repeated.

        :param exc: the failure.
        """
        log(events.DATAGRAM_FAILED, reason=str(exc))

    def _take(self, item: object, sender: Address) -> None:
        if isinstance(item, Answer):
            waiting = self._waiting_by_number.get(item.number)
            if waiting is not None and not waiting.done():
                waiting.set_result(wire.decode(item.content))
        elif isinstance(item, Question):
            self._answer(item, sender)
        else:
            log(events.DATAGRAM_DROPPED, sender=sender[0], reason=type(item).__name__)

    def _answer(self, question: Question, sender: Address) -> None:
        key = (sender, question.number)
        answer = self._answers.get(key)
        if answer is None:
            asked = wire.decode(question.content)
            handler = self._handlers_by_type.get(type(asked))
            if handler is None:
                log(events.DATAGRAM_DROPPED, sender=sender[0], reason=type(asked).__name__)
                return
            content = wire.encode(handler(asked))
            answer = wire.encode(Answer(number=question.number, content=content))
            self._answers[key] = answer
            if len(self._answers) > KEPT_ANSWERS:
                self._answers.popitem(last=False)
        self._send(answer, sender)

    def _send(self, datagram: bytes, address: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(datagram, address)


def _host_and_port(address: str) -> Address:
    host, _, port = address.rpartition(':')
    return host, int(port)
