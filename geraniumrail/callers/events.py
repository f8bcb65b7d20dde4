"""Log events of the HTTP front."""

from absl import logging

from geraniumrail.core.events import Event

REQUEST_FAILED = Event.define(
    900,
    'callers.request_failed',
    'A request was answered with a typed failure.',
)
UNEXPECTED = Event.define(
    901,
    'callers.unexpected',
    'A request met a failure without a type; this is a fault of the program.',
    logging.ERROR,
)
STREAM_CUT = Event.define(
    902,
    'callers.stream_cut',
    'A stream could not be completed and ended with an error event.',
    logging.WARNING,
)
CALLER_GONE = Event.define(
    903,
    'callers.caller_gone',
    'A caller closed the connection before the answer was complete.',
)
HANDSHAKE_REFUSED = Event.define(
    904,
    'callers.handshake_refused',
    'A connection was refused because its TLS handshake failed.',
)
CLIENT_REFUSED = Event.define(
    905,
    'callers.client_refused',
    'A connection was refused or closed; the reason says which limit of clients was exceeded.',
    logging.WARNING,
)
