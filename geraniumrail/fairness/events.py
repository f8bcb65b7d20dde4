"""Log events of fairness."""

from geraniumrail.core.events import Event, log
from geraniumrail.errors.request import OverloadedError

SHED = Event.define(
    501,
    'fairness.shed',
    'A request was refused before it ran, by a limit, the queue depth or the expected wait.',
)
LIMIT_SCARCE = Event.define(
    500,
    'fairness.limit_scarce',
    'The leader rejects requests of an organisation; requests below the mean cost go first.',
)


def log_shed(organisation: str, traffic_class: str, error: OverloadedError) -> None:
    """Logs a refused request.

    :param organisation: name.
    :param traffic_class: chat, quick or review.
    :param error: raised by a limit, the queue or the shedder.
    """
    log(SHED, organisation=organisation, traffic_class=traffic_class, **error.fields)
