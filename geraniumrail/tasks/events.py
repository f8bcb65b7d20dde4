"""Log events of background tasks."""

from absl import logging

from geraniumrail.core.events import Event

CRASHED = Event.define(
    1900,
    'tasks.crashed',
    'A background task met an unexpected error and starts again.',
    logging.ERROR,
)
NOT_ENDED = Event.define(
    1901,
    'tasks.not_ended',
    'Background tasks were cancelled several times and go on; the stop goes on without them.',
    logging.ERROR,
)
