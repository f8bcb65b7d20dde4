"""Ways to spread load knowledge over many entries."""

import dataclasses
import hashlib
import math


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ring:
    """Bounds on staleness for the engines of one ring; a report is sent when one is reached."""

    time_s: float  # since the last report sent
    announcements: float  # since then
    occupancy: float  # change of requests for each slot since then


# By distance between the data centres of engine and entry: same, same region, other region.
NEAR_TIGHT = (
    Ring(time_s=4, announcements=2, occupancy=0.06),
    Ring(time_s=8, announcements=4, occupancy=0.12),
    Ring(time_s=40, announcements=20, occupancy=0.5),
)
NEAR_LOOSE = (
    Ring(time_s=8, announcements=4, occupancy=0.12),
    Ring(time_s=16, announcements=8, occupancy=0.25),
    Ring(time_s=80, announcements=40, occupancy=1),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spread:
    """One way; answers that an entry relays carry a report in each."""

    perfect: bool = False
    subset: int = 0  # engines for each entry; 0: all
    far: int | None = None  # of these, engines in the other region; None: as the hash falls
    period_s: float = math.inf  # between reports of an engine to all entries
    forward: bool = False  # announcements go to the entries that have the engine in their subset
    rings: tuple[Ring, ...] = ()  # with `forward`: send only what is due


def choose_subset(entry: str, engines: tuple[str, ...], size: int) -> frozenset[str]:
    """Returns the engines with the highest hash for the entry (rendezvous hashing).

    A joining or leaving engine changes at most one member of each subset.

    :param entry: name.
    :param engines: names.
    :param size: engines to keep.
    """
    ranked = sorted(engines, key=lambda engine: _weight(entry, engine), reverse=True)
    return frozenset(ranked[:size])


def _weight(entry: str, engine: str) -> bytes:
    return hashlib.blake2b(f'{entry}/{engine}'.encode(), digest_size=8).digest()
