"""Conditional likelihood ratios for the odds of bad outcomes of the new version."""

import functools
import math

from geraniumrail.rollout.e_process import log_sum_exp

_MAX_EXACT_SUPPORT = 48
_CACHE_SIZE = 4096  # most strata are unchanged from one evaluation to the next


@functools.lru_cache(maxsize=_CACHE_SIZE)
def log_likelihood_ratios(
    new_bad: int, new_total: int, old_bad: int, old_total: int, ratios: tuple[float, ...]
) -> tuple[float, ...]:
    """Returns the log likelihood ratio of each tested odds ratio against the tolerated one.

    Given the number of bad outcomes and the sizes of both groups, the number of bad ones in the
    new group is hypergeometric if both versions are alike. Whatever changes the error rate of both
    versions, such as load, therefore cancels out.

    :param new_bad: bad outcomes of the new version.
    :param new_total: outcomes of the new version.
    :param old_bad: bad outcomes of the old version.
    :param old_total: outcomes of the old version.
    :param ratios: the tolerated odds ratio, then the odds ratios to test.
    """
    bad = new_bad + old_bad
    if not new_total or not old_total or not bad or bad == new_total + old_total:
        return tuple(0 for _ in ratios[1:])
    log_tolerated = math.log(ratios[0])
    log_mean_tolerated = _log_generating_function(
        log_tolerated, new_total, old_total, bad, lower=True
    )
    return tuple(
        (math.log(ratio) - log_tolerated) * new_bad
        + log_mean_tolerated
        - _log_generating_function(math.log(ratio), new_total, old_total, bad)
        for ratio in ratios[1:]
    )


def _log_generating_function(
    log_ratio: float, new_total: int, old_total: int, bad: int, *, lower: bool = False
) -> float:
    """Returns log E[ratio ** X] for hypergeometric X, or a bound of it if the support is large.

    Sampling without replacement has a smaller expectation of a convex function than sampling
    with replacement, which gives four upper bounds; Jensen's inequality gives the lower one.
    """
    total = new_total + old_total
    low, high = max(0, bad - old_total), min(new_total, bad)
    if high - low <= _MAX_EXACT_SUPPORT:
        return _exact_log_generating_function(log_ratio, new_total, old_total, bad)
    if lower:
        return log_ratio * bad * new_total / total
    new_share, bad_share = new_total / total, bad / total
    ratio_minus_one, inverse_minus_one = math.expm1(log_ratio), math.expm1(-log_ratio)
    return min(
        bad * math.log1p(new_share * ratio_minus_one),
        new_total * math.log1p(bad_share * ratio_minus_one),
        bad * log_ratio + old_total * math.log1p(bad_share * inverse_minus_one),
        new_total * log_ratio + (total - bad) * math.log1p(new_share * inverse_minus_one),
    )


def _exact_log_generating_function(
    log_ratio: float, new_total: int, old_total: int, bad: int
) -> float:
    low, high = max(0, bad - old_total), min(new_total, bad)
    log_weight: float = 0
    log_weights, log_terms = [], []
    for new_bad in range(low, high + 1):
        log_weights.append(log_weight)
        log_terms.append(log_weight + log_ratio * new_bad)
        if new_bad < high:
            numerator = (new_total - new_bad) * (bad - new_bad)
            denominator = (new_bad + 1) * (old_total - bad + new_bad + 1)
            log_weight += math.log(numerator / denominator)
    return log_sum_exp(log_terms) - log_sum_exp(log_weights)
