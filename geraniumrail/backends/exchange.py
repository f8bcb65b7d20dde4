"""How far one request has come on the wire."""

import dataclasses

from aiohttp import ClientSession, TraceConfig

from geraniumrail.backends.events import RESEND_STOPPED
from geraniumrail.core import events


class ResendError(Exception):
    """The HTTP library was about to send a request a second time."""


@dataclasses.dataclass
class Exchange:
    """Set by the HTTP library's trace signals."""

    connected: bool = False  # from here on the request may have been written


def trace_exchanges() -> TraceConfig:
    """Returns a trace that keeps the `Exchange` given as `trace_request_ctx` up to date.

    aiohttp sends GET, PUT and DELETE requests again when the connection is lost before the answer.
    A plain service's request may not be repeatable whatever its method, so a second connection for
    the same request is refused.
    """
    trace = TraceConfig()
    trace.on_connection_create_start.append(_refuse_second)
    trace.on_connection_create_end.append(_connected)
    trace.on_connection_reuseconn.append(_reused)
    return trace


async def _refuse_second(session: ClientSession, context: object, parameters: object) -> None:
    if _exchange(context).connected:
        events.log(RESEND_STOPPED)
        raise ResendError


async def _connected(session: ClientSession, context: object, parameters: object) -> None:
    _exchange(context).connected = True


async def _reused(session: ClientSession, context: object, parameters: object) -> None:
    await _refuse_second(session, context, parameters)
    _exchange(context).connected = True


def _exchange(context: object) -> Exchange:
    return context.trace_request_ctx  # type: ignore[attr-defined]
