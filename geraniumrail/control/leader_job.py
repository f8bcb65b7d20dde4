"""Interface of periodic work that only the leader does."""

from typing import Protocol


class LeaderJob(Protocol):
    """Called a few times a second while this process leads."""

    name: str

    def became_leader(self) -> None:
        """Drops the soft state of an earlier leadership."""

    async def run_once(self) -> None:
        """Does the work that is due.

        :raises GeraniumrailError: if it failed; it is called again at the next tick.
        """
