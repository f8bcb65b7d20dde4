"""E-process of one hypothesis, mixed over the window in which the fault may begin."""

import math


class EProcess:
    """The prior of window k is 1 / (k (k + 1)), so a late fault costs 2 log k to find."""

    def __init__(self) -> None:
        """Starts before the first window."""
        self._windows = 0
        self._log_begun = -math.log(2)  # with the prior of the open window
        self._log_later = -math.log(2)  # prior of all windows after the open one

    def after(self, log_increment: float) -> float:
        """Returns the log of the process if the open window ended now.

        :param log_increment: log likelihood ratio of the open window.
        """
        return _log_add_exp(self._log_begun + log_increment, self._log_later)

    def close(self, log_increment: float) -> None:
        """Ends the open window.

        :param log_increment: its log likelihood ratio.
        """
        self._windows += 1
        number = self._windows + 1
        prior = -math.log(number * (number + 1))
        self._log_begun = _log_add_exp(self._log_begun + log_increment, prior)
        self._log_later = -math.log(number + 1)


def _log_add_exp(one: float, other: float) -> float:
    if one < other:
        one, other = other, one
    return one + math.log1p(math.exp(other - one))


def log_sum_exp(logs: tuple[float, ...] | list[float]) -> float:
    """Returns the log of the sum of exponentials.

    :param logs: at least one finite term.
    """
    top = max(logs)
    return top + math.log(sum(math.exp(term - top) for term in logs))
