"""Tolerance by which divided limits may be exceeded."""

import dataclasses

BURST_PART = 0.5  # part of the slack that may be taken at once


@dataclasses.dataclass(frozen=True)
class Slack:
    """Tokens by which all entries together may exceed a limit in a window.

    Half of them add to the burst, for long prompts that arrive when a bucket is nearly empty; the
    other half adds to the rate, for an organisation that stays at its limit.
    """

    tokens: float = 0
    window_s: float = 1

    @property
    def burst(self) -> float:
        """Tokens added to the burst."""
        return self.tokens * BURST_PART

    @property
    def rate_per_s(self) -> float:
        """Tokens per second added to the rate."""
        return self.tokens * (1 - BURST_PART) / self.window_s
