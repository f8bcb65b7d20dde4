"""Measures recovery under notice; `python -m geraniumrail.bench.recovery_experiment`."""

import argparse
import dataclasses
import random
import statistics
from collections.abc import Callable, Sequence

from absl import logging

from geraniumrail.bench.table import publish
from geraniumrail.placement.recovery import RecoveryStep, recovery_order
from geraniumrail.placement.stream import Stream

_EXPORT_RATE = 8000  # tokens of KV cache per second: 128 KB each over 1 GB/s
_EXPORT_OVERHEAD_S = 0.05
_ENGINES_LOST = 3
_ENGINES_LEFT = 6
_SHORT_NOTICE = 0.2  # share of engines that die before the notice ends
_NOTICES_S = (2, 5, 15, 30)

_Order = Callable[[Sequence[Stream], float], Sequence[RecoveryStep]]


@dataclasses.dataclass(frozen=True)
class Lost:
    """One engine under notice, with what will really happen."""

    streams: tuple[Stream, ...]
    remaining_tokens: dict[str, float]  # real ones; `Stream` has the estimates
    real_notice_s: float


def draw_wave(seed: int, notice_s: float) -> list[Lost]:
    """Returns the engines of one reclaim wave.

    :param seed: number of the wave.
    :param notice_s: announced notice.
    """
    rng = random.Random(f'wave {seed} {notice_s}')
    return [_draw_engine(rng, notice_s) for _ in range(_ENGINES_LOST)]


def _draw_engine(rng: random.Random, notice_s: float) -> Lost:
    streams, remaining = [], {}
    for number in range(rng.randint(8, 24)):
        prompt = int(min(32_000, rng.lognormvariate(7.3, 1)))
        answered = int(rng.expovariate(1 / 150))
        left = rng.expovariate(1 / 200)
        cached = int(prompt * max(0, rng.uniform(-0.8, 1)))
        name = f's{number:02}'
        remaining[name] = left
        streams.append(
            Stream(
                stream=name,
                kv_tokens=prompt + answered,
                remaining_tokens=left * rng.lognormvariate(0, 0.7),
                tokens_per_s=rng.uniform(17, 30),
                prefix_tokens_by_engine=((f'e{rng.randrange(_ENGINES_LEFT)}', cached),),
            ),
        )
    is_short = rng.random() < _SHORT_NOTICE
    real_s = notice_s * (rng.uniform(0.2, 1) if is_short else 1)
    return Lost(tuple(streams), remaining, real_s)


def recomputed(lost: Lost, steps: Sequence[RecoveryStep]) -> float:
    """Returns the tokens computed again after one engine is lost.

    :param lost: the engine.
    :param steps: what is done during the notice; other streams run until the engine dies.
    """
    exported = set()
    clock: float = 0
    streams_by_name = {stream.stream: stream for stream in lost.streams}
    for step in steps:
        stream = streams_by_name[step.stream]
        has_ended = lost.remaining_tokens[step.stream] <= stream.tokens_per_s * clock
        if step.action != 'resume' and not has_ended:
            clock += _EXPORT_OVERHEAD_S + stream.kv_tokens / _EXPORT_RATE
            if clock <= lost.real_notice_s:
                exported.add(step.stream)
    tokens: float = 0
    for one in lost.streams:
        more = one.tokens_per_s * lost.real_notice_s
        if one.stream in exported or lost.remaining_tokens[one.stream] <= more:
            continue
        tokens += one.recomputed_tokens + more
    return tokens


def start_again(lost: Lost) -> float:
    """Returns the tokens computed again if all streams start again at the notice.

    :param lost: the engine.
    """
    cached = sum(stream.kv_tokens - stream.recomputed_tokens for stream in lost.streams)
    return sum(stream.kv_tokens for stream in lost.streams) - cached / _ENGINES_LEFT


def _by_arrival(streams: Sequence[Stream], _: float) -> Sequence[RecoveryStep]:
    return [
        RecoveryStep(stream=one.stream, action='export', engine='', saved_tokens=0)
        for one in streams
    ]


def _largest_first(streams: Sequence[Stream], notice_s: float) -> Sequence[RecoveryStep]:
    return _by_arrival(sorted(streams, key=lambda one: -one.kv_tokens), notice_s)


def _ours(streams: Sequence[Stream], notice_s: float) -> Sequence[RecoveryStep]:
    return recovery_order(streams, notice_s, _EXPORT_RATE)


def _nothing(streams: Sequence[Stream], notice_s: float) -> Sequence[RecoveryStep]:
    return ()


_ORDERS: tuple[tuple[str, _Order], ...] = (
    ('recovery_order', _ours),
    ('export, by arrival', _by_arrival),
    ('export, largest first', _largest_first),
    ('resume elsewhere', _nothing),
)


def main() -> None:
    """Runs the experiment and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--waves', type=int, default=500)
    parser.add_argument('--csv', help='file for the table')
    options = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    rows = []
    for notice_s in _NOTICES_S:
        waves = [draw_wave(seed, notice_s) for seed in range(1, options.waves + 1)]
        again = [sum(start_again(lost) for lost in wave) for wave in waves]
        rows.append(_row('start again elsewhere', notice_s, again, again))
        for name, order in _ORDERS:
            tokens = [
                sum(recomputed(lost, order(lost.streams, notice_s)) for lost in wave)
                for wave in waves
            ]
            rows.append(_row(name, notice_s, tokens, again))
    publish(rows, options.csv)


def _row(
    name: str, notice_s: float, tokens: list[float], baseline: list[float]
) -> dict[str, object]:
    return {
        'notice s': notice_s,
        'order': name,
        'waves': len(tokens),
        'recomputed per wave': round(statistics.fmean(tokens)),
        'p95': round(sorted(tokens)[len(tokens) * 95 // 100]),
        'share of baseline %': round(100 * sum(tokens) / sum(baseline), 1),
    }


if __name__ == '__main__':
    main()
