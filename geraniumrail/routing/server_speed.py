"""Relative speed of each backend server, and how long work takes there at this moment.

Load pattern: servers of one service that differ in speed, and whose work takes longer or shorter
several times a second, while each of many entries sees an answer of a server only now and then.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable

from geraniumrail.core.backend import Backend

# Answers are forgotten with this time constant, so that a server that was slow gets another chance.
MEMORY_S = 60.0
# Deviations below so many standard errors count as noise: with 70 servers that are alike, one in
# eighty of the means is beyond it, and only by a little.
NOISE_ERRORS = 2.5
# A single answer counts as at most e^1.5 times as slow or as fast as usual.
MAX_DEVIATION = 1.5
# Variance of the logarithm that is assumed before there are answers, and its weight in answers.
INITIAL_VARIANCE = 0.25
INITIAL_WEIGHT = 16
# Answers that the moving averages cover.
WINDOW = 100
USUAL_WINDOW = 50
USUAL_WEIGHT = 10
# The work factor changes several times a second.
FACTOR_DECAY_S = 0.2
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 4.0
MIN_WORK_S = 0.005
MAX_WORK_S = 2.0
SLOWEST = 'slowest'
FASTEST = 'fastest'


@dataclasses.dataclass
class _Mean:
    """Mean of the latest values; the first ones count in full."""

    amount: float = 0
    count: int = 0

    def add(self, amount: float, window: int = WINDOW) -> None:
        """Adds a value."""
        self.count += 1
        self.amount += (amount - self.amount) / min(self.count, window)


@dataclasses.dataclass
class _Server:
    weight: float = 0  # answers, weighted by age
    deviations: float = 0  # sum, weighted by age
    at: float = 0
    # Logarithm of the work factor, which is taken to be 1 until several were reported.
    usual: _Mean = dataclasses.field(default_factory=lambda: _Mean(0, USUAL_WEIGHT))
    factor: float = 1
    factor_at: float = -math.inf

    def fade(self, now: float) -> None:
        """Forgets a part of the answers."""
        kept = math.exp(min(0, self.at - now) / MEMORY_S)
        self.weight *= kept
        self.deviations *= kept
        self.at = max(self.at, now)

    def relative_factor(self, factor: float) -> float:
        """Returns a work factor relative to the usual one of this server."""
        return factor / math.exp(self.usual.amount)


class ServerSpeeds:
    """Learned from the answers that one entry got; 1 is the mean of the servers of a service.

    Answers are compared only with those of the same kind, and on a logarithmic scale.
    """

    def __init__(self) -> None:
        """Starts with equal speeds."""
        self.shares_machines = False  # some server has told that work takes longer or shorter
        self._servers_by_instance: dict[str, _Server] = {}
        self._means_by_kind: dict[str, _Mean] = collections.defaultdict(_Mean)
        self._work_by_service: dict[str, _Mean] = collections.defaultdict(_Mean)
        self._variance = _Mean(INITIAL_VARIANCE, INITIAL_WEIGHT)

    def observe_factor(self, instance: str, factor: float, measured_at: float) -> None:
        """Records how long work takes on a server at one moment.

        :param instance: the server.
        :param factor: as reported; 1: as usual.
        :param measured_at: monotonic seconds.
        """
        self.shares_machines = self.shares_machines or factor != 1
        server = self._servers_by_instance.get(instance)
        if server is None:
            if factor == 1:
                return
            server = self._servers_by_instance.setdefault(instance, _Server())
        server.usual.add(math.log(factor), USUAL_WINDOW)
        if measured_at > server.factor_at:
            server.factor = factor
            server.factor_at = measured_at

    def observe_work(
        self, instance: str, kind: str, seconds: float, factor: float, now: float
    ) -> None:
        """Records how long a server took for a piece of work, without its queue.

        :param instance: the server.
        :param kind: of work; the times of one kind can be compared.
        :param seconds: for the work.
        :param factor: work factor that was reported with it.
        :param now: monotonic seconds.
        """
        if seconds <= 0:
            return
        server = self._servers_by_instance.setdefault(instance, _Server())
        mean = self._means_by_kind[kind]
        amount = math.log(seconds / server.relative_factor(factor))
        if mean.count:
            difference = amount - mean.amount
            deviation = max(-MAX_DEVIATION, min(MAX_DEVIATION, difference))
            server.fade(now)
            if server.weight >= 1:
                # The mean of few answers is itself uncertain, which widens the difference.
                residual = deviation - server.deviations / server.weight
                self._variance.add(residual**2 * server.weight / (server.weight + 1))
            server.weight += 1
            server.deviations += deviation
        mean.add(amount)

    def observe_plain(self, service: str, seconds: float) -> None:
        """Records how long a plain answer took, without its wait for a slot.

        :param service: name of the service.
        :param seconds: at the usual speed.
        """
        self._work_by_service[service].add(seconds)

    def work_s(self, service: str) -> float | None:
        """Returns the mean time of a piece of work, or None before there are enough answers.

        :param service: name of the service.
        """
        known = self._work_by_service.get(service)
        if known is None or known.count < INITIAL_WEIGHT:
            return None
        return max(MIN_WORK_S, min(MAX_WORK_S, known.amount))

    def speed(self, instance: str, now: float) -> float:
        """Returns the learned speed, relative to the mean of the servers.

        :param instance: the server.
        :param now: monotonic seconds.
        """
        server = self._servers_by_instance.get(instance)
        if server is None:
            return 1
        weight = server.weight * math.exp(min(0, server.at - now) / MEMORY_S)
        if weight < 2 or not server.deviations:
            return 1
        mean = server.deviations / server.weight
        noise = NOISE_ERRORS**2 * self._variance.amount / weight
        return math.exp(-mean * max(0, 1 - noise / mean**2))

    def slowness(self, instance: str, now: float) -> float:
        """Returns how long work takes now, relative to the mean of the servers.

        :param instance: the server.
        :param now: monotonic seconds.
        """
        server = self._servers_by_instance.get(instance)
        if server is None:
            return 1
        fading = math.exp(min(0, server.factor_at - now) / FACTOR_DECAY_S)
        present = server.relative_factor(server.factor) ** fading
        return max(MIN_SLOWNESS, min(MAX_SLOWNESS, present / self.speed(instance, now)))

    def bounds(self, backends: Iterable[Backend], now: float) -> dict[tuple[str, str], float]:
        """Returns the speeds of the slowest and of the fastest server of each service.

        :param backends: servers of any service.
        :param now: monotonic seconds.
        """
        speeds_by_service: dict[str, list[float]] = {}
        for backend in backends:
            speeds = speeds_by_service.setdefault(backend.service, [])
            speeds.append(self.speed(backend.instance, now))
        slowest = {(service, SLOWEST): min(found) for service, found in speeds_by_service.items()}
        return slowest | {
            (service, FASTEST): max(found) for service, found in speeds_by_service.items()
        }

    def remove(self, instance: str) -> None:
        """Forgets a server.

        :param instance: the server.
        """
        self._servers_by_instance.pop(instance, None)
