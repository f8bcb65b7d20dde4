"""Rules for queueing and shedding by traffic class."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ClassRule:
    """How a class is queued and shed."""

    tag_offset_tokens: float  # added to the tag of its items, for a weight of 1
    depth_share: float  # share of the queue depth limit at which the class is shed
    window_share: float  # share of an engine window that the class may fill
    max_wait_s: float  # expected wait above which an item without a bound is shed
    promote_after_s: float  # wait after which an item without a bound loses its tag offset


# Chat is dispatched first and shed last. A review with a completion bound keeps its tag offset for
# `PROMOTE_SHARE` of the bound.
RULES_BY_CLASS = {
    'chat': ClassRule(0, 1, 1, 2, 0),
    'quick': ClassRule(2000, 0.8, 1, 4, 2),
    'review': ClassRule(20000, 0.6, 0.75, 60, 60),
}
_DEFAULT = RULES_BY_CLASS['quick']


def rule_of(traffic_class: str) -> ClassRule:
    """Returns the rule of a class; an unknown class has that of quick.

    :param traffic_class: chat, quick or review.
    """
    return RULES_BY_CLASS.get(traffic_class, _DEFAULT)
