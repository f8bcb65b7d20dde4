"""Log events of background tasks."""

from absl import logging

from geraniumrail.core.events import Event

CRASHED = Event.define(
    1900,
    'tasks.crashed',
    'A background task met an unexpected error and starts again.',
    logging.ERROR,
)
