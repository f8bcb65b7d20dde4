"""Counts by name that decay with time."""

import math

MAX_AGE = 20.0  # time constants until the common scale is renewed


class DecayedCounts:
    """Recent events count fully, earlier ones less and less.

    Amounts are kept in the scale of one moment, so that reading them takes no exponential each.
    """

    def __init__(self, decay_s: float) -> None:
        """Starts empty.

        :param decay_s: time constant.
        """
        self._decay_s = decay_s
        self._scaled: dict[str, float] = {}
        self._scale_at: float = 0
        self._factor_at: float = 0
        self._factor: float = 1

    def __len__(self) -> int:
        """Returns the number of names."""
        return len(self._scaled)

    def add(self, name: str, now: float) -> None:
        """Counts an event.

        :param name: whose.
        :param now: monotonic seconds.
        """
        if now - self._scale_at > MAX_AGE * self._decay_s:
            factor = self._read_factor(now)
            self._scaled = {each: amount * factor for each, amount in self._scaled.items()}
            self._scale_at = now
            self._factor_at = now
            self._factor = 1
        self._scaled[name] = self._scaled.get(name, 0) + 1 / self._read_factor(now)

    def value(self, name: str, now: float) -> float:
        """Returns the present count of a name.

        :param name: whose.
        :param now: monotonic seconds.
        """
        amount = self._scaled.get(name)
        return 0 if amount is None else amount * self._read_factor(now)

    def total(self, now: float) -> float:
        """Returns the sum of all counts.

        :param now: monotonic seconds.
        """
        return sum(self._scaled.values()) * self._read_factor(now)

    def drop_below(self, least: float, now: float) -> None:
        """Forgets the names with small counts.

        :param least: the smallest count that is kept.
        :param now: monotonic seconds.
        """
        factor = self._read_factor(now)
        self._scaled = {
            name: amount for name, amount in self._scaled.items() if amount * factor >= least
        }

    def _read_factor(self, now: float) -> float:
        if now != self._factor_at:
            self._factor_at = now
            self._factor = math.exp((self._scale_at - now) / self._decay_s)
        return self._factor
