"""Log events of fairness."""

from geraniumrail.core.events import Event

SHED = Event.define(
    501,
    'fairness.shed',
    'A request was refused before it ran, by a limit, the queue depth or the expected wait.',
)
