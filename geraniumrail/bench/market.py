"""A market of instances in virtual time: prices, refusals, single reclaims and whole waves."""

import dataclasses
import math
import random
from collections.abc import Iterator

from geraniumrail.placement.instance import Instance
from geraniumrail.placement.offer import Offer
from geraniumrail.placement.placement_settings import PlacementSettings

STEP_S = 30
CENTRES = ('shah-alam', 'petaling', 'cheras')
SETTINGS = PlacementSettings(tokens_per_s_by_class={'small': 1000, 'large': 2500})
_ON_DEMAND_PRICES = (('small', 1), ('large', 2.3))
_RECLAIMABLE_PRICE = 0.35  # of the on-demand price, on average
_RECLAIMS_PER_HOUR = 0.05
_WAVES_PER_HOUR = 1 / 6
_SCARCE_S = 2400  # after a wave, starts in that data centre are mostly refused
_PRICE_PERIOD_H = 7
_HOUR_S = 3600
_PEAK_TOKENS_PER_S = 9000
_REFUSED = 0.15
_REFUSED_ON_DEMAND = 0.03
_REFUSED_SCARCE = 0.9


@dataclasses.dataclass(frozen=True)
class Moment:
    """The market at one step; chance is drawn before policies act, so all see the same."""

    now: float
    demand: float  # tokens per second
    offers: tuple[Offer, ...]
    wave: str  # data centre that is reclaimed now, or ''
    scarce: frozenset[str]  # data centres that refuse most starts of reclaimable instances
    draw: random.Random  # for refusals and single reclaims

    def refuses(self, offer: Offer) -> bool:
        """Draws whether a start is refused.

        :param offer: what is asked for.
        """
        if not offer.reclaimable:
            return self.draw.random() < _REFUSED_ON_DEMAND
        scarce = offer.data_centre in self.scarce
        return self.draw.random() < (_REFUSED_SCARCE if scarce else _REFUSED)

    def takes(self, instance: Instance) -> bool:
        """Draws whether an instance is reclaimed now.

        :param instance: a running instance.
        """
        if not instance.reclaimable:
            return False
        single = self.draw.random() < _RECLAIMS_PER_HOUR * STEP_S / _HOUR_S
        return single or instance.data_centre == self.wave


def moments(seed: int, hours: float) -> Iterator[Moment]:
    """Yields the market step by step.

    :param seed: number of the run.
    :param hours: duration.
    """
    rng = random.Random(f'market {seed}')
    phases = {centre: rng.uniform(0, 2 * math.pi) for centre in CENTRES}
    scarce_until = {centre: float('-inf') for centre in CENTRES}
    for step in range(int(hours * _HOUR_S / STEP_S)):
        now = step * STEP_S
        wave = ''
        if rng.random() < _WAVES_PER_HOUR * STEP_S / _HOUR_S:
            wave = rng.choice(CENTRES)
            scarce_until[wave] = now + _SCARCE_S
        daily = 0.65 - 0.35 * math.cos(2 * math.pi * now / (24 * _HOUR_S))
        yield Moment(
            now=now,
            demand=_PEAK_TOKENS_PER_S * daily * rng.uniform(0.97, 1.03),
            offers=tuple(_offers(now, phases)),
            wave=wave,
            scarce=frozenset(centre for centre, until in scarce_until.items() if until > now),
            draw=random.Random(f'draw {seed} {step}'),
        )


def _offers(now: float, phases: dict[str, float]) -> Iterator[Offer]:
    for number, centre in enumerate(CENTRES):
        turn = 2 * math.pi * now / (_PRICE_PERIOD_H * _HOUR_S)
        spot = _RECLAIMABLE_PRICE * (1 + 0.5 * math.sin(turn + phases[centre]))
        for machine_class, price in _ON_DEMAND_PRICES:
            for reclaimable in (True, False):
                yield Offer(
                    machine_class=machine_class,
                    data_centre=centre,
                    price_per_hour=price * (1 + 0.05 * number) * (spot if reclaimable else 1),
                    reclaimable=reclaimable,
                    reclaims_per_hour=_RECLAIMS_PER_HOUR + _WAVES_PER_HOUR / len(CENTRES),
                )
