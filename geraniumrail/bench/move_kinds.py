"""The kinds of moves that are measured."""

import random

from geraniumrail.bench.move_model import Scenario

KINDS = (
    'good',
    'good, surge',
    'good, reclaim wave',
    'fails at once',
    'fails later',
    'fails under load',
    'fails on one route',
    'slow at once',
    'slow later',
    'slow under load',
)
DEADLINE_S = 900
_REQUESTS_PER_ENGINE_S = 0.5  # about half of the slots are busy
_ERROR_RATES = (0.1, 0.3, 1)
_SLOWDOWNS = (1.6, 2, 3)
_NO_CENTRE = -1


def make(kind: str, engines: int, seed: int) -> Scenario:
    """Returns a seeded scenario.

    :param kind: one of KINDS.
    :param engines: engines of one version.
    :param seed: number of the move.
    """
    rng = random.Random(f'{kind} {engines} {seed}')
    begin = rng.uniform(30, 400)
    fields: dict[str, object] = {'wave': (0, 0, _NO_CENTRE)}
    if kind == 'good, surge':
        fields['surge'] = (begin, begin + rng.uniform(60, 240), rng.uniform(1.6, 2.4))
    if kind == 'good, reclaim wave':
        fields['wave'] = (begin, begin + rng.uniform(60, 240), rng.randrange(3))
    if kind.startswith('fails'):
        fields['error_rate'] = rng.choice(_ERROR_RATES)
    if kind.startswith('slow'):
        fields['slowdown'] = rng.choice(_SLOWDOWNS)
    if kind.endswith('later'):
        fields['onset_s'] = rng.uniform(30, 300)
    if kind.endswith('under load'):
        fields['fault_load'] = 0.75
    if kind.endswith('one route'):
        fields['fault_route'] = rng.choice(('chat', 'quick', 'review'))
    rate = engines * _REQUESTS_PER_ENGINE_S
    return Scenario(kind=kind, engines=engines, seed=seed, requests_per_s=rate, **fields)
