"""Log events of crashes that requests cause."""

from absl import logging

from geraniumrail.core.events import Event

CRASH_NOTED = Event.define(
    2000,
    'quarantine.crash_noted',
    'A backend server ended while requests of this entry waited for their answers to begin.',
    logging.WARNING,
)
CRASH_NOT_CONFIRMED = Event.define(
    2001,
    'quarantine.crash_not_confirmed',
    'A connection was lost, but the backend server still accepts connections or does not answer.',
)
QUARANTINED = Event.define(
    2002,
    'quarantine.started',
    'A request, or all with some prompt parts, crash backend servers and are not sent any more.',
    logging.WARNING,
)
RELEASED = Event.define(
    2003,
    'quarantine.ended',
    'Requests that were held back are sent again; the reason says why.',
)
TRIAL = Event.define(
    2004,
    'quarantine.trial',
    'An entry sends one request that is held back, to see whether it is answered.',
)
APPLIED = Event.define(
    2005,
    'quarantine.applied',
    'The entry holds back the requests of these quarantines.',
)
FINAL = Event.define(
    2006,
    'quarantine.final',
    'The last trial of a quarantine has failed; it lasts until an operator releases it.',
    logging.WARNING,
)
