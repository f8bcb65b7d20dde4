"""Failures at backend servers; the type says whether the request may have run."""

from geraniumrail.errors.base import GeraniumrailError


class BackendError(GeraniumrailError):
    """A failure of one attempt at a backend server."""

    type_name = 'backend_failed'
    status = 502
    template = 'backend server {backend} failed: {reason}'


class NotSentError(BackendError):
    """Nothing was sent, so the request did not run."""

    type_name = 'backend_not_sent'
    template = 'nothing was sent to backend server {backend}: {reason}'


class WithdrawnSendError(NotSentError):
    """The entry may not send there any more; it says nothing about the backend server."""

    type_name = 'backend_send_withdrawn'


class RefusedError(BackendError):
    """The backend server refused before it ran the request."""

    type_name = 'backend_refused'
    template = 'backend server {backend} refused before running: {reason}'


class ConnectionLostError(BackendError):
    """The connection ended before the answer was complete; the request may have run."""

    type_name = 'backend_connection_lost'
    template = 'backend server {backend} closed the connection: {reason}'


class StalledError(BackendError):
    """No progress within the limit of the phase; the request may have run."""

    type_name = 'backend_stalled'
    template = 'backend server {backend} made no progress for {limit_s} s ({phase})'


class NoBackendError(BackendError):
    """No backend server may take the request now."""

    type_name = 'no_backend'
    status = 503
    template = 'no backend server of {service} may take the request'


class StaleOrderError(BackendError):
    """The engine refused an order with an old fencing number."""

    type_name = 'stale_order'
    status = 409
    template = 'backend server {backend} refused order ({term}, {number}) as stale'


class ResponseTooLongError(ConnectionLostError):
    """The answer was abandoned at the size limit; the request may have run."""

    type_name = 'backend_response_too_long'
    template = 'backend server {backend} answered with more than {limit_bytes} bytes'


class InvalidStreamError(ConnectionLostError):
    """The stream was abandoned because its events can't be the answer; the request may have run."""

    type_name = 'backend_invalid_stream'
    template = 'backend server {backend} sent an invalid stream: {reason}'


class CrossedAnswerError(ConnectionLostError):
    """The answer names another request; the request may have run."""

    type_name = 'backend_crossed_answer'
    template = 'backend server {backend} answered request {found} instead of {expected}'
