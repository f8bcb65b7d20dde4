"""Waits until a settings revision is in force everywhere."""

from geraniumrail.control import events
from geraniumrail.control.control import Control
from geraniumrail.core.events import log

IN_FORCE_LIMIT_S = 7.0
POLL_S = 0.05


async def await_in_force(control: Control, revision: int) -> bool:
    """Returns whether no entry can serve an older revision any more, within the limit.

    :param control: the control role of this process.
    :param revision: settings revision.
    """
    started = control.now()
    while control.now() < started + IN_FORCE_LIMIT_S:
        if control.leadership.is_active() and control.publisher.leases.is_in_force(
            revision,
            control.now(),
        ):
            log(events.IN_FORCE, revision=revision, after_s=round(control.now() - started, 3))
            return True
        await control.sleep(POLL_S)
    return False
