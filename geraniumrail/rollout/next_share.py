"""Chooses the next share of a new version from the evidence so far."""

import types

from geraniumrail.rollout.move_spec import MoveSpec
from geraniumrail.rollout.sequential_comparison import SIGNALS, SequentialComparison

_MIN_SAMPLES = 16  # of the new version before its share may exceed the canary share
_MAX_GROWTH = 4
_MIN_GROWTH = 1.25  # smaller steps cost a log entry and teach little
_HARM_BY_SIGNAL = types.MappingProxyType(
    {'error_rate': 1, 'first_token': 0.25, 'between_tokens': 0.25},
)
_UNKNOWN_EXCESS = 0.001  # for services that report no latency


def next_share(
    comparison: SequentialComparison, spec: MoveSpec, share: float, now: float
) -> float | None:
    """Returns the share at which the harm not yet ruled out equals that of the canary.

    :param comparison: evidence.
    :param spec: the move.
    :param share: present share.
    :param now: wall seconds.
    """
    if comparison.excess('error_rate')[''].samples < _MIN_SAMPLES:
        return None
    # The latency comparison varies more; in the second half of the time to the deadline a share
    # that it keeps low without signs of a fault would end the move for lack of time.
    is_late = now - spec.started_at > spec.deadline - now
    signals = SIGNALS[:1] if is_late else SIGNALS
    harm = max(_HARM_BY_SIGNAL[signal] * worst_excess(comparison, signal) for signal in signals)
    wanted = min(spec.unproven_share / harm, share * _MAX_GROWTH)
    if wanted * _MIN_GROWTH >= spec.full_share:
        return spec.full_share
    return wanted if wanted >= share * _MIN_GROWTH else None


def retreat_share(spec: MoveSpec, share: float) -> float:
    """Returns the share for a version that shows signs of a fault.

    :param spec: the move.
    :param share: present share.
    """
    return max(spec.unproven_share, share / _MAX_GROWTH)


def worst_excess(comparison: SequentialComparison, signal: str) -> float:
    """Returns the excess not ruled out if the fault is on all routes or on a single one.

    :param comparison: evidence.
    :param signal: error_rate, first_token or between_tokens.
    """
    by_route = comparison.excess(signal)
    samples = by_route[''].samples
    if not samples:
        return _UNKNOWN_EXCESS
    return max(excess.upper_share() * excess.samples / samples for excess in by_route.values())
