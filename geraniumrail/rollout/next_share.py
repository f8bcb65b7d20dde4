"""Chooses the next traffic share of a new version from the evidence so far."""

import types

from geraniumrail.rollout.move_spec import MoveSpec
from geraniumrail.rollout.sequential_comparison import SIGNALS, SequentialComparison

_MIN_SAMPLES = 16  # of the new version, before its share may exceed the canary share
_MAX_GROWTH = 4
_MIN_GROWTH = 1.25  # a smaller step gives little evidence for the cost of a log entry
_COST_BY_SIGNAL = types.MappingProxyType(  # of a bad outcome, in failed requests
    {'error_rate': 1, 'first_token': 0.25, 'between_tokens': 0.25},
)
_EXCESS_WITHOUT_SAMPLES = 0.001  # for services that report no latency


def next_share(
    comparison: SequentialComparison, spec: MoveSpec, share: float, now: float
) -> float | None:
    """Returns the next share, or None to keep the present one.

    At this share the cost that is not yet ruled out is that of a canary that fails all requests.

    :param comparison: evidence.
    :param spec: the move.
    :param share: present share.
    :param now: wall seconds.
    """
    if comparison.excess_by_route('error_rate')[''].samples < _MIN_SAMPLES:
        return None
    # Latency varies more than errors and could keep the share low without signs of a fault until
    # the deadline ends the move, so it is ignored in the second half of the time to the deadline.
    is_late = now - spec.started_at > spec.deadline - now
    signals = SIGNALS[:1] if is_late else SIGNALS
    cost = max(_COST_BY_SIGNAL[signal] * worst_excess(comparison, signal) for signal in signals)
    wanted = min(spec.capped_canary_share / cost, share * _MAX_GROWTH)
    if wanted * _MIN_GROWTH >= spec.max_share:
        return spec.max_share
    return wanted if wanted >= share * _MIN_GROWTH else None


def reduced_share(spec: MoveSpec, share: float) -> float:
    """Returns the share for a version that shows signs of a fault.

    :param spec: the move.
    :param share: present share.
    """
    return max(spec.capped_canary_share, share / _MAX_GROWTH)


def worst_excess(comparison: SequentialComparison, signal: str) -> float:
    """Returns the largest share of bad outcomes not ruled out, for a fault on all routes or on one.

    :param comparison: evidence.
    :param signal: error_rate, first_token or between_tokens.
    """
    by_route = comparison.excess_by_route(signal)
    samples = by_route[''].samples
    if not samples:
        return _EXCESS_WITHOUT_SAMPLES
    return max(excess.upper_share() * excess.samples / samples for excess in by_route.values())
