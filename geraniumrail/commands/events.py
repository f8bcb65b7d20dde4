"""Log events of the command line, 1500 to 1599."""

from absl import logging

from geraniumrail.core.events import Event

MEMBER_FAILED = Event.define(
    1500,
    'commands.member_failed',
    'A control member did not answer an operator request; the next one is tried.',
    logging.DEBUG,
)
