"""Traffic classes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ClassRule:
    """How far other traffic goes ahead of a class."""

    handicap_tokens: float  # tokens per weight by which the class stands behind in the queue
    depth_share: float  # share of the depth limit at which the class is shed
    window_share: float  # share of an engine window that the class may fill
    patience_s: float  # expected wait above which the class is shed, unless it has a bound
    promote_s: float  # waiting time after which an item without a bound counts as chat


# Chat is shed last and goes first. A review waits until its bound nears (see `QueueItem`).
RULES_BY_CLASS = {
    'chat': ClassRule(0, 1, 1, 2, 0),
    'quick': ClassRule(2000, 0.8, 1, 4, 2),
    'review': ClassRule(20000, 0.6, 0.75, 60, 60),
}
_DEFAULT = RULES_BY_CLASS['quick']


def rule_of(traffic_class: str) -> ClassRule:
    """Returns the rule of a class; an unknown class is treated as quick.

    :param traffic_class: chat, quick or review.
    """
    return RULES_BY_CLASS.get(traffic_class, _DEFAULT)
