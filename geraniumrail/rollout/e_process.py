"""E-process of one hypothesis, mixed over the windows in which the fault may begin."""

import math


class EProcess:
    """E-process of a fault with unknown onset.

    The prior probability that it begins in window k is 1 / (k (k + 1)), so a fault that begins
    then needs about 2 log k more log evidence.
    """

    def __init__(self) -> None:
        """Opens the first window."""
        self._closed_windows = 0
        self._log_begun = -math.log(2)  # fault begins in the open window or before
        self._log_later = -math.log(2)  # fault begins after the open window

    def log_value(self, log_increment: float) -> float:
        """Returns the log of the process as if the open window ended now.

        :param log_increment: log likelihood ratio of the open window.
        """
        return _log_add_exp(self._log_begun + log_increment, self._log_later)

    def close_window(self, log_increment: float) -> None:
        """Closes the open window and opens the next one.

        :param log_increment: its log likelihood ratio.
        """
        self._closed_windows += 1
        number = self._closed_windows + 1
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
