"""By how much limits may be exceeded, because they are divided."""

import dataclasses

BURST_PART = 0.5  # of the slack


@dataclasses.dataclass(frozen=True)
class Slack:
    """By how much all entries together may exceed a limit in a window.

    Half of it may be taken at once, for long prompts that meet a bucket that is nearly empty; the
    other half is spread, for an organisation that stays at its limit.
    """

    tokens: float = 0
    window_s: float = 1

    @property
    def burst(self) -> float:
        """Tokens that may be taken at once."""
        return self.tokens * BURST_PART

    @property
    def rate_per_s(self) -> float:
        """Tokens a second."""
        return self.tokens * (1 - BURST_PART) / self.window_s
