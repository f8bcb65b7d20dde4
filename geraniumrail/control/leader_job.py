"""Interface of work that only the leader does."""

from typing import Protocol


class LeaderJob(Protocol):
    """Called a few times a second while this process leads."""

    name: str

    def became_leader(self) -> None:
        """Forgets what an earlier leadership knew."""

    async def run_once(self) -> None:
        """Does what is due.

        :raises GeraniumrailError: if it failed; it is called again.
        """
