"""Log events of relayed connections."""

from absl import logging

from geraniumrail.core.events import Event

CUT_OFF = Event.define(
    2100,
    'relay.cut_off',
    'New connections fail at several backend servers and succeed at none; other entries are asked.',
    logging.WARNING,
)
REACHED_AGAIN = Event.define(
    2101, 'relay.reached_again', 'A backend server takes a connection of this entry again.'
)
HELPER_FAILED = Event.define(
    2102,
    'relay.helper_failed',
    'Another entry did not open a connection to a backend server for this one.',
)
RELAYED = Event.define(
    2103, 'relay.ended', 'A connection that this entry held for another one has ended.'
)
