"""Limits what one entry sends to one backend server while its queue is long."""

import math

from geraniumrail.admission.decayed_count import DecayedCount
from geraniumrail.core.load_report import LoadReport

# Share of the target that the wait in the backend server and its work may take. The rest is for the
# network, for the wait at the entry and for callers that were rejected once.
SOJOURN_SHARE = 0.4
LEAST_QUEUE = 2.0  # arrivals come in groups, so a shorter queue would leave slots idle
# Groups of about three requests arrive at once.
BURST = 3.0
# A report shows the effect of a decrease after one round through the queue.
DECREASE_GAP_S = 0.2
DECREASE = 0.3  # at a queue of twice the goal
MAX_DECREASE = 0.5
# Of an even share of the capacity, a second: all entries together regain the whole in two seconds.
INCREASE_PER_S = 0.5
IDLE_INCREASE_PER_S = 3.0  # while slots are free
LEAST_SHARE = 0.2  # of an even share: enough to keep hearing of the backend server
MOST_SHARE = 6.0
LEAST_PER_S = 0.001
# A longer time without a look at the clock means that the process stood still.
MAX_STEP_S = 1.0
CALM_S = 3.0
SMOOTHING = 0.1
INITIAL_WORK_S = 0.05
# Counts the requests sent for the first rate.
SENT_DECAY_S = 1.0


class ServerLimit:
    """A token bucket whose rate follows the queue that the answers report.

    Additive increase and multiplicative decrease on the same signal lead all entries with waiting
    requests to about equal rates, without a message between them.
    """

    def __init__(self, now: float) -> None:
        """Starts without a limit.

        :param now: monotonic seconds.
        """
        self.is_limited = False
        self.rate_per_s: float = 0
        self.slots = 1
        self.work_s = INITIAL_WORK_S
        self.used_at = now
        self._level = BURST
        self._refilled_at = now
        self._decreased_at = -math.inf
        self._increased_at = now
        self._busy_at = -math.inf
        self._queue: float = 0  # moving average of what answers reported
        self._has_free_slots = False
        self._sent = DecayedCount(SENT_DECAY_S)

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that the backend server serves for all entries."""
        return self.slots / self.work_s

    @property
    def level(self) -> float:
        """Places that may be taken at once."""
        return self._level

    @property
    def next_place_s(self) -> float:
        """Seconds from the last `refill` until there is one place more than now."""
        if self._level >= BURST:
            return math.inf
        missing = max(1, math.floor(self._level) + 1) - self._level
        return missing / max(self.rate_per_s, LEAST_PER_S)

    @property
    def expected_s(self) -> float:
        """Time that a request takes which is sent now."""
        return self.work_s * (1 + self._queue / self.slots)

    def queue_goal(self, target_s: float) -> float:
        """Returns the waiting requests with which answers are still in time.

        :param target_s: until an answer is due; 0: not known.
        """
        wait_s = SOJOURN_SHARE * target_s - self.work_s if target_s else self.work_s
        return max(LEAST_QUEUE, wait_s * self.capacity_per_s)

    def answered(self, seconds: float) -> None:
        """Learns the work time from an answer.

        :param seconds: from sending to the answer.
        """
        work_s = seconds / (1 + self._queue / self.slots)
        self.work_s += SMOOTHING * (work_s - self.work_s)

    def observe(self, report: LoadReport, target_s: float, entries: int, now: float) -> bool:
        """Adjusts the rate to a report. Tells whether a limit has begun or ended.

        :param report: of an answer or a refusal.
        :param target_s: until an answer is due; 0: not known.
        :param entries: number of entries that may send to the backend server.
        :param now: monotonic seconds.
        """
        self.used_at = now
        self.slots = max(1, report.slots)
        self._queue += SMOOTHING * (report.queued - self._queue)
        goal = self.queue_goal(target_s)
        excess = report.queued / goal - 1
        self._has_free_slots = not report.queued and report.running < self.slots
        was_limited = self.is_limited
        if report.queued > goal / 2:
            self._busy_at = now
        if excess > 0:
            self._decrease(excess, entries, now)
        elif self.is_limited:
            self.refill(entries, now)
            self.is_limited = now - self._busy_at < CALM_S
        return was_limited != self.is_limited

    def refill(self, entries: int, now: float) -> None:
        """Adds what has accrued since the last call.

        :param entries: number of entries that may send to the backend server.
        :param now: monotonic seconds.
        """
        if not self.is_limited:
            return
        even = self.capacity_per_s / max(1, entries)
        step_s = min(MAX_STEP_S, max(0, now - self._increased_at))
        if now - self._decreased_at >= DECREASE_GAP_S:
            per_s = IDLE_INCREASE_PER_S if self._has_free_slots else INCREASE_PER_S
            grown = self.rate_per_s + even * per_s * step_s
            self.rate_per_s = min(MOST_SHARE * even, grown)
        self._increased_at = now
        accrued = self.rate_per_s * max(0, now - self._refilled_at)
        self._level = min(BURST, self._level + accrued)
        self._refilled_at = now

    def has_place(self, kept: float) -> bool:
        """Returns whether there was a place at the last `refill`.

        :param kept: places that are kept free.
        """
        return not self.is_limited or self._level >= 1 + kept

    def take(self, now: float) -> None:
        """Takes a place.

        :param now: monotonic seconds.
        """
        self.used_at = now
        self._sent.add(1, now)
        if self.is_limited:
            self._level -= 1

    def give_back(self) -> None:
        """Returns a place that was not used."""
        self._level = min(BURST, self._level + 1)

    def _decrease(self, excess: float, entries: int, now: float) -> None:
        if now - self._decreased_at < DECREASE_GAP_S:
            return
        even = self.capacity_per_s / max(1, entries)
        if not self.is_limited:
            self.is_limited = True
            self.rate_per_s = max(self._sent.value(now) / SENT_DECAY_S, even)
            self._level = 1
            self._refilled_at = now
        factor = 1 - min(MAX_DECREASE, DECREASE * excess)
        self.rate_per_s = min(MOST_SHARE * even, max(LEAST_SHARE * even, self.rate_per_s * factor))
        self._decreased_at = now
        self._increased_at = now
