"""Limits of organisations over all entries, each entry with its part."""

import dataclasses
import math

from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness.central_buckets import lent_part
from geraniumrail.fairness.entry_share import EntryShare
from geraniumrail.fairness.slack import Slack

# Part by which a limit is exceeded; below the excess of 0.1 that is tolerated.
QUOTA_HEADROOM = 0.05
# Part of a limit that is divided evenly; the rest follows recent demand. Callers choose an entry at
# random, so most of the difference in recent demand is chance (docs/MEASUREMENTS.md, "Limits").
EVEN_PART = 0.7
# A lower number of entries is believed after this time: a new leader hears of the entries one by
# one, and each would take the parts of those that have not reported yet. Longer than a lease.
FEWER_ENTRIES_S = 6.0
# Until control has told the parts; it does so within a second of the first report.
UNKNOWN_PART = 0.3
# A restarted entry must not admit a whole bucket again; the rest fills at the rate of the limit.
START_PART = 0.8
# After a refusal by the ledger no request of the organisation is asked for again for so long at
# most; a limit that is raised, or a new leader, takes effect within this time.
LONGEST_PAUSE_S = 0.5


@dataclasses.dataclass
class _Level:
    left: float
    filled_at: float
    paused_until: float = -math.inf


@dataclasses.dataclass(frozen=True)
class Claim:
    """What an entry's own part of a limit gives to one request."""

    wait_s: float = 0  # until the request may be tried again; 0: it is not refused
    taken: float = 0  # from this entry's part
    lacking: float = 0  # what must be taken from the ledger before it is admitted


class Quota:
    """Token buckets of one entry.

    Invariant: the parts of all entries, and of the ledger if there is one, add up to at most the
    whole limit, as far as the leader's last shares agree.
    """

    def __init__(
        self,
        headroom: float = 0,
        slack: Slack | None = None,
        started_at: float = -math.inf,
        *,
        has_ledger: bool = False,
    ) -> None:
        """Starts with an even part.

        What is divided unevenly would otherwise refuse requests that are within the limit.

        :param headroom: part by which a limit may be exceeded.
        :param slack: by which limits in tokens may be exceeded by all entries together.
        :param started_at: when this entry started, seconds; its buckets fill from then on.
        :param has_ledger: the leader holds a part of each limit in a ledger.
        """
        self._has_ledger = has_ledger
        self._entries_seen: tuple[tuple[float, int], ...] = ()  # when, and how many
        self._headroom = headroom
        self._slack = slack or Slack()
        self._started_at = started_at
        self._share: EntryShare | None = None
        self._levels: dict[str, _Level] = {}
        self._demand: dict[str, float] = {}

    def update(self, share: EntryShare, now: float = 0) -> None:
        """Takes the parts that control has computed.

        :param share: newest parts.
        :param now: seconds.
        """
        self._share = share
        recent = (seen for seen in self._entries_seen if seen[0] > now - FEWER_ENTRIES_S)
        higher = (seen for seen in recent if seen[1] > share.entries)
        self._entries_seen = (*higher, (now, share.entries))

    def part(self, organisation: str) -> float:
        """Returns the part of an organisation's limit that this entry may use.

        :param organisation: name.
        """
        if self._share is None:
            return UNKNOWN_PART * self._divided_part(1)
        entries = max(1, *(count for _, count in self._entries_seen))
        even = 1 / entries
        recent = even
        if entries == self._share.entries:
            recent = self._share.share_by_organisation.get(organisation, even)
        return (EVEN_PART * even + (1 - EVEN_PART) * recent) * self._divided_part(entries)

    def lent_per_s(self, organisation: Organisation) -> float:
        """Returns this entry's even share of what the ledger lends in a second.

        :param organisation: whose limit it is.
        """
        entries = max(1, *(count for _, count in self._entries_seen), 1)
        rate = organisation.rate_per_s * (1 + self._headroom)
        if organisation.in_tokens:
            rate += self._slack.rate_per_s
        return lent_part(entries) * rate / entries

    def _divided_part(self, entries: int) -> float:
        return 1 - lent_part(entries) if self._has_ledger else 1.0

    def claim(self, organisation: Organisation, cost: float, now: float) -> Claim:
        """Takes a request into account.

        :param organisation: whose request it is.
        :param cost: what it counts.
        :param now: seconds.
        """
        name = organisation.name
        self._demand[name] = self._demand.get(name, 0) + cost
        if organisation.rate_per_s <= 0:
            return Claim()
        part = self.part(name)
        scale = part * (1 + self._headroom)
        rate = organisation.rate_per_s * scale
        full = organisation.burst * scale
        if organisation.in_tokens:
            full += self._slack.burst * part
            rate += self._slack.rate_per_s * part
        # A single request above the burst can be served from a full bucket.
        full = max(full, 1)
        level = self._levels.get(name)
        if level is None:
            level = _Level(START_PART * full, self._started_at)
            self._levels[name] = level
        level.left = min(full, level.left + rate * max(0, now - level.filled_at))
        level.filled_at = now
        if self._has_ledger:
            return _claim_with_ledger(level, cost, now)
        needed = min(cost, full)
        if level.left >= needed:
            level.left -= cost
            return Claim()
        return Claim(wait_s=(needed - level.left) / max(rate, 1e-9))

    def take(self, organisation: Organisation, cost: float, now: float) -> float:
        """Claims a request without a ledger; returns 0, or seconds until it may be tried again.

        :param organisation: whose request it is.
        :param cost: what it counts.
        :param now: seconds.
        """
        return self.claim(organisation, cost, now).wait_s

    def give_back(self, organisation: str, taken: float) -> None:
        """Takes back a claim that the ledger did not complete.

        :param organisation: whose request it was.
        :param taken: from this entry's part.
        """
        self._levels[organisation].left += taken

    def pause(self, organisation: str, wait_s: float, now: float) -> None:
        """Claims nothing from the ledger for a while, since it has nothing left.

        :param organisation: whose limit it is.
        :param wait_s: seconds until the ledger has something left again.
        :param now: seconds.
        """
        self._levels[organisation].paused_until = now + min(wait_s, LONGEST_PAUSE_S)

    def left(self, organisation: str) -> float:
        """Returns what this entry may still admit, as of the last request.

        :param organisation: name.
        """
        level = self._levels.get(organisation)
        return 0 if level is None else level.left

    def take_demand(self) -> dict[str, float]:
        """Returns what organisations asked for since the last call, refused requests included."""
        demand = self._demand
        self._demand = {}
        return demand


def _claim_with_ledger(level: _Level, cost: float, now: float) -> Claim:
    taken = min(cost, max(0, level.left))
    lacking = cost - taken
    if lacking > 0 and now < level.paused_until:
        return Claim(wait_s=level.paused_until - now)
    level.left -= taken
    return Claim(taken=taken, lacking=lacking)
