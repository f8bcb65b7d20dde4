"""Instances of one policy in the market, with what they cost and answer."""

import dataclasses
import itertools
import random

from geraniumrail.bench.market import SETTINGS, STEP_S, Moment
from geraniumrail.bench.placement_policies import Policy
from geraniumrail.placement.action import Action
from geraniumrail.placement.instance import Instance
from geraniumrail.placement.offer import Offer
from geraniumrail.placement.start_backoff import StartBackoff

_HOUR_S = 3600


@dataclasses.dataclass
class Totals:
    """Sums over one run."""

    cost: float = 0
    demanded_tokens: float = 0
    answered_tokens: float = 0  # within the latency target
    steps: int = 0
    short_steps: int = 0  # with less capacity than demand
    lost_instances: int = 0
    refused: int = 0
    moved: int = 0


class Fleet:
    """Carries out the actions of a policy."""

    def __init__(self, policy: Policy, seed: int) -> None:
        """Starts without instances.

        :param policy: decides the actions.
        :param seed: number of the run.
        """
        self.totals = Totals()
        self._policy = policy
        self._refusals = StartBackoff(random.Random(f'refusals {seed}'))
        self._instances: dict[str, Instance] = {}
        self._ready_at: dict[str, float] = {}
        self._replaces: dict[str, str] = {}  # new instance -> old one, stopped when it serves
        self._numbers = itertools.count()

    def step(self, moment: Moment) -> None:
        """Plays one step: reclaims, decisions, capacity and cost.

        :param moment: the market.
        """
        for instance in tuple(self._instances.values()):
            if moment.takes(instance):
                self.totals.lost_instances += 1
                self._drop(instance.instance)
        self._begin_serving(moment.now)
        offers = tuple(self._with_refusals(offer) for offer in moment.offers)
        leaving = set(self._replaces.values())
        present = [one for name, one in self._instances.items() if name not in leaving]
        for action in self._policy(moment, present, offers):
            self._carry_out(action, moment)
        self._account(moment)

    def _begin_serving(self, now: float) -> None:
        for name, instance in tuple(self._instances.items()):
            if not instance.serving and now >= self._ready_at[name]:
                self._instances[name] = dataclasses.replace(instance, serving=True)
                self._drop(self._replaces.pop(name, ''))

    def _carry_out(self, action: Action, moment: Moment) -> None:
        if action.offer is None:
            self._drop(action.instance)
            return
        if moment.now < self._refusals.retry_at(action.offer.key):
            return
        if moment.refuses(action.offer):
            self.totals.refused += 1
            self._refusals.record_refusal(action.offer.key, moment.now)
            return
        self._refusals.record_start(action.offer.key)
        loading = sum(not one.serving for one in self._instances.values())
        name = f'i{next(self._numbers):05}'
        self._instances[name] = Instance(
            instance=name,
            machine_class=action.offer.machine_class,
            data_centre=action.offer.data_centre,
            reclaimable=action.offer.reclaimable,
            started_at=moment.now,
            serving=False,
        )
        self._ready_at[name] = moment.now + SETTINGS.startup_s(loading)
        if action.instance:
            self.totals.moved += 1
            self._replaces[name] = action.instance

    def _with_refusals(self, offer: Offer) -> Offer:
        return dataclasses.replace(
            offer,
            refusals=self._refusals.refusals(offer.key),
            retry_at=self._refusals.retry_at(offer.key),
        )

    def _drop(self, name: str) -> None:
        self._instances.pop(name, None)
        self._replaces.pop(name, None)

    def _account(self, moment: Moment) -> None:
        prices = {offer.key: offer.price_per_hour for offer in moment.offers}
        running = self._instances.values()
        hours = STEP_S / _HOUR_S
        self.totals.cost += sum(prices[one.offer_key] for one in running) * hours
        capacity = sum(
            SETTINGS.tokens_per_s_by_class[one.machine_class] for one in running if one.serving
        )
        self.totals.steps += 1
        self.totals.short_steps += capacity < moment.demand
        self.totals.demanded_tokens += moment.demand * STEP_S
        self.totals.answered_tokens += min(capacity, moment.demand) * STEP_S
