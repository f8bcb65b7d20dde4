"""A command of the replicated state machine: which prompt parts are in quarantine."""

from geraniumrail.core.codec import record
from geraniumrail.quarantine.quarantine import Quarantine


@record
class SetQuarantines:
    """Ends some quarantines and begins others; both may be repeated."""

    added: tuple[Quarantine, ...] = ()
    removed: tuple[str, ...] = ()  # labels
