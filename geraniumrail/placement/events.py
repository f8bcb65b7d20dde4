"""Log events 700-799."""

from absl import logging

from geraniumrail.core.events import Event

PLACEMENT_DECIDED = Event.define(
    700,
    'placement.decided',
    'An instance is started, stopped or moved; states the reason, the cost and the alternatives.',
)
START_REFUSED = Event.define(
    701,
    'placement.start_refused',
    'The cloud refused a start; the offer is left out until the retry time.',
    logging.WARNING,
)
TARGET_UNREACHABLE = Event.define(
    702,
    'placement.target_unreachable',
    'No usable offer covers the capacity that is still missing.',
    logging.WARNING,
)
RECOVERY_ORDERED = Event.define(
    710,
    'placement.recovery_ordered',
    'Streams of an instance under reclaim notice are exported, left to finish or resumed; '
    'states their numbers and the tokens saved.',
)
