"""A count that decays with time."""

import math


class DecayedCount:
    """Recent events count fully, earlier ones less and less."""

    def __init__(self, decay_s: float) -> None:
        """Starts at zero.

        :param decay_s: time constant.
        """
        self._decay_s = decay_s
        self._count: float = 0
        self._at: float = 0

    def add(self, amount: float, now: float) -> None:
        """Adds to the count.

        :param amount: how much.
        :param now: monotonic seconds.
        """
        self._count = self.value(now) + amount
        self._at = now

    def value(self, now: float) -> float:
        """Returns the present count.

        :param now: monotonic seconds.
        """
        return self._count * math.exp(min(0, self._at - now) / self._decay_s)
