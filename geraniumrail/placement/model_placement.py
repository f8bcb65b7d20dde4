"""Assigns model versions and adapters to engines by their use."""

import dataclasses
import math
import operator
from collections import Counter
from collections.abc import Mapping, Sequence

_MIN_COPIES = 2  # in different data centres, so that one is left after the loss of either


def place_versions(
    version_by_instance: Mapping[str, str], share_by_version: Mapping[str, float]
) -> dict[str, str]:
    """Returns the version of each instance, with as few changes as possible.

    Each version gets its share of the instances, and at least one.

    :param version_by_instance: current versions.
    :param share_by_version: share of the traffic, above 0.
    """
    wanted = _counts_by_version(len(version_by_instance), share_by_version)
    placed: dict[str, str] = {}
    for instance, version in sorted(version_by_instance.items()):
        if wanted[version] > 0:
            wanted[version] -= 1
            placed[instance] = version
    missing = sorted(wanted.elements())
    changing = sorted(set(version_by_instance) - set(placed))
    placed.update(zip(changing, missing, strict=True))
    return placed


def place_adapters(
    data_centre_by_instance: Mapping[str, str],
    use_by_adapter: Mapping[str, float],
    present: Mapping[str, Sequence[str]],
    slots: int,
) -> dict[str, tuple[str, ...]]:
    """Returns the adapters of each instance.

    Adapters are placed in descending order of their use, with copies in proportion to it. Copies go
    to the data centre with the fewest, there to engines that have the adapter or are least used.

    :param data_centre_by_instance: the engines.
    :param use_by_adapter: requests per second.
    :param present: adapters loaded now, by instance.
    :param slots: adapters that an engine can hold.
    """
    total = sum(use_by_adapter.values()) or 1
    engines = {
        instance: _Engine(instance, data_centre, frozenset(present.get(instance, ())), slots)
        for instance, data_centre in sorted(data_centre_by_instance.items())
    }
    by_use = sorted((-requests, adapter) for adapter, requests in use_by_adapter.items())
    for negative_use, adapter in by_use:
        copies = max(_MIN_COPIES, math.ceil(-negative_use / total * len(engines)))
        holders = _assign(adapter, copies, list(engines.values()))
        for holder in holders:
            holder.use -= negative_use / len(holders)
    return {instance: tuple(engine.adapters) for instance, engine in engines.items()}


@dataclasses.dataclass
class _Engine:
    instance: str
    data_centre: str
    present: frozenset[str]
    slots: int
    adapters: list[str] = dataclasses.field(default_factory=list)
    use: float = 0

    def can_load(self, adapter: str) -> bool:
        return len(self.adapters) < self.slots and adapter not in self.adapters

    def rank(self, adapter: str, taken: Counter[str]) -> tuple[int, bool, float, str]:
        return (taken[self.data_centre], adapter not in self.present, self.use, self.instance)


def _assign(adapter: str, copies: int, engines: list[_Engine]) -> list[_Engine]:
    """Adds an adapter to the engines with a free slot that rank first."""
    holders: list[_Engine] = []
    while len(holders) < copies:
        taken = Counter(engine.data_centre for engine in holders)
        free = [engine for engine in engines if engine.can_load(adapter)]
        if not free:
            break
        holders.append(min(free, key=operator.methodcaller('rank', adapter, taken)))
        holders[-1].adapters.append(adapter)
    return holders


def _counts_by_version(instances: int, share_by_version: Mapping[str, float]) -> Counter[str]:
    """Rounds shares to whole instances by largest remainder, at least one for each version."""
    by_share = sorted((-share, version) for version, share in share_by_version.items())
    counts = Counter({version: 1 for _, version in by_share[:instances]})
    total = sum(share_by_version.values()) or 1
    while counts.total() < instances and by_share:
        remainders = [
            (-share / total * instances - counts[version], version) for share, version in by_share
        ]
        counts[max(remainders)[1]] += 1
    return counts
