"""Measures placement; `python -m geraniumrail.bench.placement_experiment`."""

import argparse
import dataclasses

from absl import logging

from geraniumrail.bench import market
from geraniumrail.bench.market_fleet import Fleet, Totals
from geraniumrail.bench.placement_policies import CheapestFirst, Planned
from geraniumrail.bench.table import publish

_POLICIES = (
    ('planner', Planned(market.SETTINGS)),
    (
        'planner, no on-demand',
        Planned(dataclasses.replace(market.SETTINGS, on_demand_share=0)),
    ),
    ('cheapest first', CheapestFirst()),
    ('cheapest first, 50% spare', CheapestFirst(headroom=0.5)),
    ('on-demand only', CheapestFirst(reclaimable=False)),
)
_TOKENS_PER_ANSWER = 300
_WARM_UP_S = 3600  # the first starts of all policies are left out


def run(name: str, seeds: range, hours: float) -> dict[str, object]:
    """Returns one row of the table: sums over all seeds.

    :param name: policy.
    :param seeds: numbers of the runs.
    :param hours: duration of one run.
    """
    policy = dict(_POLICIES)[name]
    total = Totals()
    for seed in seeds:
        fleet = Fleet(policy, seed)
        for moment in market.moments(seed, hours):
            fleet.step(moment)
            if moment.now == _WARM_UP_S:
                fleet.totals = Totals()
        for field in dataclasses.fields(Totals):
            added = getattr(total, field.name) + getattr(fleet.totals, field.name)
            setattr(total, field.name, added)
    answered = total.answered_tokens / _TOKENS_PER_ANSWER
    return {
        'policy': name,
        'runs': len(seeds),
        'cost per hour': round(total.cost / (total.steps * market.STEP_S / 3600), 3),
        'within target %': round(100 * total.answered_tokens / total.demanded_tokens, 3),
        'cost per 1000 within target': round(1000 * total.cost / answered, 5),
        'minutes short per day': round(1440 * total.short_steps / total.steps, 1),
        'lost instances': total.lost_instances,
        'refused starts': total.refused,
        'moves': total.moved,
    }


def main() -> None:
    """Runs the experiment and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=6)
    parser.add_argument('--hours', type=float, default=24)
    parser.add_argument('--csv', help='file for the table')
    options = parser.parse_args()
    logging.set_verbosity(logging.FATAL)
    seeds = range(1, options.seeds + 1)
    publish([run(name, seeds, options.hours) for name, _ in _POLICIES], options.csv)


if __name__ == '__main__':
    main()
