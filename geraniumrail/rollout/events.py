"""Log events 600-699."""

from absl import logging

from geraniumrail.core.events import Event

BREAKER_OPENED = Event.define(
    600,
    'rollout.breaker_opened',
    'This entry sends no more requests to a new version because it fails or is slow here.',
    logging.WARNING,
)
BREAKER_HALF_OPEN = Event.define(
    601, 'rollout.breaker_half_open', 'This entry sends single trial requests to a blocked version.'
)
BREAKER_CLOSED = Event.define(
    602, 'rollout.breaker_closed', 'Trial requests succeeded; this entry uses the version again.'
)
MOVE_STEPPED = Event.define(
    610, 'rollout.move_stepped', 'The control leader changes the traffic share of a new version.'
)
MOVE_ENDED = Event.define(
    611, 'rollout.move_ended', 'A version move has ended in the given phase, for the given reason.'
)
MOVE_HELD = Event.define(
    612, 'rollout.move_held', 'The traffic share is not raised because there are signs of a fault.'
)
MOVE_RESUMED = Event.define(
    613,
    'rollout.move_resumed',
    'A new control leader continues a version move; evidence starts from zero.',
)
