"""The end of a version move."""

import dataclasses

from geraniumrail.rollout.end_reason import EndPhase, EndReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class MoveEnd:
    """Final phase of a move and its reason; `detail` gives the evidence as text."""

    move_id: str
    phase: EndPhase
    reason: EndReason
    detail: str = ''
