"""Calls plain services; each error says whether the request may have run."""

from urllib.parse import quote

from geraniumrail.backends.attempt import attempt, read_limited
from geraniumrail.backends.connections import Connections
from geraniumrail.backends.exchange import Exchange
from geraniumrail.backends.held_response import HeldResponse
from geraniumrail.backends.service_answer import ServiceAnswer, StillRunning
from geraniumrail.backends.service_call import ServiceCall, end_to_end
from geraniumrail.core.backend import Backend
from geraniumrail.core.ids import new_id
from geraniumrail.errors.backend import BackendError, CrossedAnswerError, RefusedError

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_REQUEST_ID = 'X-Request-Id'
_NOT_RUN = 'X-Not-Run'


class ServiceClient:
    """Client of plain services."""

    def __init__(self, connections: Connections) -> None:
        """Creates the client.

        :param connections: owned by the caller.
        """
        self._connections = connections

    async def send(self, backend: Backend, call: ServiceCall) -> ServiceAnswer:
        """Sends a request once.

        :param backend: the service's server.
        :param call: the attempt.
        :raises NotSentError: if no connection was established: it did not run.
        :raises RefusedError: for status 503 with `X-Not-Run: true`: it did not run.
        :raises StalledError: if the time limit has passed: it may have run.
        :raises ConnectionLostError: for all other failures: it may have run.
        """
        exchange = Exchange(request_id=call.request_id)
        async with attempt(backend, exchange, call.limit_s, 'answer'):
            response = await self._connections.request(
                backend,
                call.method,
                call.path,
                payload=call.body or None,
                headers=call.sent_headers(),
                exchange=exchange,
                fresh=call.fresh,
            )
            try:
                _check_head(backend, call, response)
                body = await read_limited(backend, response, call.limit_bytes)
            finally:
                response.close()
        headers = tuple(response.headers.items())
        return ServiceAnswer(status=response.status, headers=end_to_end(headers), body=body)

    async def outcome(
        self, backend: Backend, outcome_path: str, key: str, limit_s: float = 2
    ) -> ServiceAnswer | StillRunning | None:
        """Asks what became of a key; None if it certainly never ran.

        :param backend: any server of the service.
        :param outcome_path: from the settings of the service.
        :param key: idempotency key.
        :param limit_s: limit of the call, in seconds.
        :raises BackendError: if the service did not say.
        """
        path = f'{outcome_path.rstrip("/")}/{quote(key, safe="")}'
        asked = new_id('outcome')  # a service that repeats it can't cross its answers unseen
        call = ServiceCall(method='GET', path=path, request_id=asked, limit_s=limit_s)
        answer = await self.send(backend, call)
        if answer.status == _NOT_FOUND:
            return None
        if answer.status == _CONFLICT:
            return StillRunning(key)
        if answer.status != _OK:
            reason = f'{path}: status {answer.status}'
            raise BackendError(backend=backend.instance, reason=reason)
        return answer


def _check_head(backend: Backend, call: ServiceCall, response: HeldResponse) -> None:
    answered = response.headers.get(_REQUEST_ID)
    if answered and call.request_id and answered != call.request_id:
        raise CrossedAnswerError(backend=backend.instance, found=answered, expected=call.request_id)
    refused = (
        response.status == _UNAVAILABLE and response.headers.get(_NOT_RUN, '').lower() == 'true'
    )
    if answered or not refused:
        response.accept()
    if refused:
        raise RefusedError(
            backend=backend.instance,
            reason=f'status {response.status} with {_NOT_RUN}',
            retry_after_s=response.headers.get('Retry-After'),
        )
