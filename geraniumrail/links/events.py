"""Log events of the links between daemons."""

from absl import logging

from geraniumrail.core.events import Event

DATAGRAM_DROPPED = Event.define(
    800,
    'links.datagram_dropped',
    'A datagram was malformed, or asked what this daemon does not answer.',
    logging.WARNING,
)
DATAGRAM_FAILED = Event.define(
    801,
    'links.datagram_failed',
    'The system refused a datagram; its question is repeated.',
    logging.WARNING,
)
