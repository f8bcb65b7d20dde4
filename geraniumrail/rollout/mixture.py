"""E-process of one hypothesis, mixed over the window in which the fault may begin."""

import math


class Mixture:
    """The prior of window k is 1 / (k (k + 1)), so a late fault costs 2 log k to find."""

    def __init__(self) -> None:
        """Starts before the first window."""
        self._log_begun = float('-inf')
        self._windows = 0

    def after(self, log_increment: float) -> float:
        """Returns the log of the process if the open window ended now.

        :param log_increment: log likelihood ratio of the open window.
        """
        return log_sum((self._with_next() + log_increment, -math.log(self._windows + 2)))

    def close(self, log_increment: float) -> None:
        """Ends the open window.

        :param log_increment: its log likelihood ratio.
        """
        self._log_begun = self._with_next() + log_increment
        self._windows += 1

    def _with_next(self) -> float:
        number = self._windows + 1
        return log_sum((self._log_begun, -math.log(number * (number + 1))))


def log_sum(logs: tuple[float, ...] | list[float]) -> float:
    """Returns the log of the sum of exponentials.

    :param logs: at least one finite term.
    """
    top = max(logs)
    return top + math.log(sum(math.exp(term - top) for term in logs))
