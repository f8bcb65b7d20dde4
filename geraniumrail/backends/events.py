"""Log events of the clients of backend servers."""

from absl import logging

from geraniumrail.core.events import Event

CHUNK_DROPPED = Event.define(
    1100,
    'backends.chunk_dropped',
    'a chunk of another request, attempt or offset was dropped',
    logging.WARNING,
)
RESEND_STOPPED = Event.define(
    1101,
    'backends.resend_stopped',
    'the HTTP library was kept from sending a request a second time',
    logging.WARNING,
)
CONNECTION_LEFT = Event.define(
    1102,
    'backends.connection_left',
    'A kept connection was closed because it had carried the id of the next request before.',
)
ANSWER_BROKEN_OFF = Event.define(
    1103,
    'backends.answer_broken_off',
    'an answer was broken off for its size; the reason says which limit it exceeded',
    logging.WARNING,
)
INVALID_STATUS = Event.define(
    1104,
    'backends.invalid_status',
    'An answer had a status that HTTP does not have; its request may have run.',
    logging.WARNING,
)
