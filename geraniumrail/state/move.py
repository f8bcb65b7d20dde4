"""A version move and its recorded end."""

from geraniumrail.core.codec import record

RUNNING = 'running'
MOVE_ENDS = frozenset(('done', 'taken_back', 'cancelled'))


@record
class Move:
    """Traffic of one service moving from one version to another."""

    move_id: str
    service: str
    from_version: str
    to_version: str
    deadline: float  # wall seconds
    operator: str
    started_at: float  # wall seconds
    phase: str = RUNNING
    step: int = 0
    share: float = 0  # of the traffic, 0 to 1, that the new version gets
    stepped_at: float = 0  # wall seconds
    reason: str = ''
    ended_at: float = 0  # wall seconds

    def running(self) -> bool:
        """Returns whether the move has no end yet."""
        return self.phase == RUNNING
