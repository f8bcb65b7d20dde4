"""Counts request outcomes at one entry until they are reported."""

import dataclasses
from collections import Counter

from geraniumrail.rollout import histogram
from geraniumrail.rollout.outcome_stat import OutcomeStat

_Key = tuple[tuple[str, str, str, str], int, int]
_MAX_STATS = 4096  # bounds memory while the control link is down; the oldest are dropped first


@dataclasses.dataclass
class _Tally:
    requests: int = 0
    errors: int = 0
    first_token_sum_s: float = 0
    between_tokens_sum_s: float = 0
    first_tokens: Counter[int] = dataclasses.field(default_factory=Counter)
    between_tokens: Counter[int] = dataclasses.field(default_factory=Counter)


class OutcomeCounter:
    """Counts outcomes by version, route, organisation, load band and second."""

    def __init__(self) -> None:
        """Starts without outcomes."""
        self._tallies: dict[_Key, _Tally] = {}

    def observe(  # noqa: WPS211 -- each argument is a part of one outcome
        self,
        service: str,
        version: str,
        route: str,
        organisation: str,
        failed: bool | None,
        first_token_s: float | None,
        between_tokens_s: float | None,
        now: float,
        band: int = 0,
    ) -> None:
        """Counts one outcome; may be called in parts, as soon as each part is known.

        Losses of instances that were announced are not failures of the version and must not be
        counted.

        :param service: service name.
        :param version: version of the backend server.
        :param route: route name.
        :param organisation: organisation of the caller.
        :param failed: whether the request failed; None while it has not ended.
        :param first_token_s: seconds to the first token, if known.
        :param between_tokens_s: mean seconds between tokens, if known.
        :param now: wall seconds.
        :param band: `load_band` of the backend server when the request was sent.
        """
        key = ((service, version, route, organisation), int(now), band)
        tally = self._tallies.get(key)
        if tally is None:
            tally = _Tally()
            self._tallies[key] = tally
            if len(self._tallies) > _MAX_STATS:
                self._tallies.pop(next(iter(self._tallies)))
        if failed is not None:
            tally.requests += 1
            tally.errors += failed
        if first_token_s is not None:
            tally.first_token_sum_s += first_token_s
            tally.first_tokens[histogram.bucket(first_token_s)] += 1
        if between_tokens_s is not None:
            tally.between_tokens_sum_s += between_tokens_s
            tally.between_tokens[histogram.bucket(between_tokens_s)] += 1

    def drain(self) -> tuple[OutcomeStat, ...]:
        """Returns the outcomes counted since the last call and resets the counts."""
        tallies = self._tallies
        self._tallies = {}
        return tuple(_to_stat(key, tally) for key, tally in tallies.items())


def _to_stat(key: _Key, tally: _Tally) -> OutcomeStat:
    names, second, band = key
    service, version, route, organisation = names
    return OutcomeStat(
        service=service,
        version=version,
        route=route,
        organisation=organisation,
        second=second,
        load_band=band,
        requests=tally.requests,
        errors=tally.errors,
        first_token_sum_s=round(tally.first_token_sum_s, 6),
        first_token_counts=histogram.from_counts(tally.first_tokens),
        between_tokens_sum_s=round(tally.between_tokens_sum_s, 6),
        between_tokens_counts=histogram.from_counts(tally.between_tokens),
    )
