"""One attempt of an operator request at one control member."""

import dataclasses
import ssl
from typing import Any

import aiohttp

from geraniumrail.commands.send_once import send_once
from geraniumrail.errors.operator import AnswerConflictError, AnswerRefusedError

_CONNECT_S = 2
_OK = range(200, 300)
_REFUSED = range(400, 500)
_CONFLICT = 409
# Answers of the replicated state. Others, such as 401, tell nothing about an earlier attempt.
_DECIDED = frozenset((400, _CONFLICT, 422))
# Errors after which nothing was appended to the log.
_NOT_TAKEN = frozenset(('not_leader', 'no_quorum', 'no_group', 'overloaded', 'not_run'))

Body = dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """An operator request, sent unchanged in each attempt."""

    method: str
    path: str
    body: Body | None
    key: str
    tls: ssl.SSLContext | None

    @property
    def changes_state(self) -> bool:
        """Returns whether an attempt may leave a trace."""
        return self.method not in {'GET', 'HEAD'}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """An attempt that is worth repeating at another member.

    `may_have_run` tells whether the member may have taken the request.
    """

    reason: str
    may_have_run: bool
    error_type: str = ''
    leader: str = ''


async def attempt(
    call: Call,
    address: str,
    timeout_s: float,
    *,
    is_repeated: bool,
) -> Body | Failure:
    """Sends a request once, on a connection of its own.

    :param call: the request.
    :param address: ip:port of the member.
    :param timeout_s: limit for the attempt, in seconds.
    :param is_repeated: whether an earlier attempt may have run.
    :raises AnswerRefusedError: if the member refused.
    :raises AnswerConflictError: if another change won.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=min(_CONNECT_S, timeout_s))
    scheme = 'https' if call.tls else 'http'
    try:
        async with (
            # A new connection each time: a pooled one may have gone silent.
            aiohttp.ClientSession(timeout=timeout, middlewares=(send_once,)) as session,
            session.request(
                call.method,
                f'{scheme}://{address}{call.path}',
                json=call.body,
                headers={'Authorization': f'Bearer {call.key}'},
                ssl=call.tls or True,
                # The key is not sent to where an answer points.
                allow_redirects=False,
            ) as response,
        ):
            return _judge(response.status, await _decoded(response), is_repeated=is_repeated)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as failure:
        return Failure(reason=f'{address}: {failure}', may_have_run=False)
    except (aiohttp.ClientError, TimeoutError) as failure:
        reason = str(failure) or type(failure).__name__
        return Failure(reason=f'{address}: {reason}', may_have_run=True)


async def _decoded(response: aiohttp.ClientResponse) -> Body | None:
    try:
        body = await response.json(content_type=None)
    except ValueError:
        return None
    return body if isinstance(body, dict) else None


def _judge(status: int, body: Body | None, *, is_repeated: bool) -> Body | Failure:
    if body is not None and status in _OK:
        return body
    error = body.get('error') if body else None
    if not isinstance(error, dict):
        # Such as the plain text that a server of another version sends for an unknown path.
        error = {}
    error_type = str(error.setdefault('type', f'http_{status}'))
    error.setdefault('message', f'unreadable answer with status {status}')
    failure = Failure(
        reason=str(error['message']),
        may_have_run=error_type not in _NOT_TAKEN,
        error_type=error_type,
        leader=str(error.get('leader') or ''),
    )
    is_final = status in _REFUSED and failure.may_have_run
    if is_final and (status in _DECIDED or not is_repeated):
        raise (AnswerConflictError if status == _CONFLICT else AnswerRefusedError)(**error)
    if is_final:
        # The refusal is not about the attempt that may have run.
        return dataclasses.replace(failure, may_have_run=False)
    return failure
