"""A quarantine that an operator has ended."""

from geraniumrail.core.codec import record
from geraniumrail.quarantine.quarantine import Quarantine


@record
class Release:
    """Kept in the replicated log: a new leader is told again of the crashes before it."""

    release_id: str
    service: str
    parts: tuple[str, ...]
    at: float  # time of day
    operator: str

    def ends(self, quarantine: Quarantine) -> bool:
        """Returns whether all crashes that a quarantine is known by were before the release.

        :param quarantine: one with all, some or more of the same parts.
        """
        released, parts = set(self.parts), set(quarantine.parts)
        is_same = released <= parts or parts <= released
        return is_same and quarantine.service == self.service and quarantine.since <= self.at
