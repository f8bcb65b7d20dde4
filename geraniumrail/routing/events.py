"""Log events of routing."""

from geraniumrail.core.events import Event, log
from geraniumrail.routing.decision import Decision

CHOSEN = Event.define(
    401,
    'routing.chosen',
    'A backend server was chosen; scores are seconds and the lowest wins.',
)
LIMIT_NAMED = Event.define(
    402,
    'routing.limit_named',
    'A backend server named another limit of the requests that it takes, or none any more.',
)
PAUSED = Event.define(
    403,
    'routing.paused',
    'A backend server refused a request and wants nothing from this entry for a time.',
)
LEAVING_NAMED = Event.define(
    404,
    'routing.leaving_named',
    'A backend server said in an answer that it leaves; this entry sends it no new work.',
)
COLD_NAMED = Event.define(
    410,
    'routing.cold_named',
    'A backend server said in an answer that it is cold; control is told.',
)


def log_decision(decision: Decision) -> None:
    """Logs one routing decision.

    :param decision: result of `choose`.
    """
    log(
        CHOSEN,
        request=decision.request_id,
        service=decision.service,
        backend=decision.backend.instance,
        version=decision.backend.version,
        reason=decision.reason,
        score=round(decision.score, 4),
        slowness=round(decision.slowness, 3),
        cached_tokens=None if decision.cached_tokens is None else round(decision.cached_tokens),
        parts={part.name: round(part.amount, 4) for part in decision.parts},
        alternatives={name: round(total, 4) for name, total in decision.alternatives},
    )
