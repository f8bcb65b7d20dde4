"""The one end of a move."""

import dataclasses

from geraniumrail.rollout.end_reason import EndPhase, EndReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class MoveEnd:
    """How and why a move ended; `detail` names the figures behind it."""

    move_id: str
    phase: EndPhase
    reason: EndReason
    detail: str = ''
