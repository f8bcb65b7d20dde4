"""Order in which the streams of an instance are saved during a reclaim notice."""

import dataclasses
from collections.abc import Sequence

from geraniumrail.core import events as core_events
from geraniumrail.placement import events
from geraniumrail.placement.stream import Stream

_EXPORT_OVERHEAD_S = 0.05  # per stream: request, framing and the import call
# Of the notice: lengths are estimates, and instances may be reclaimed before the notice ends.
_FINISH_NOTICE_SHARE = 0.6
_EXPORT_NOTICE_SHARE = 0.9


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecoveryStep:
    """Action for one stream; `engine` caches most of its prefix ('' if none does)."""

    stream: str
    action: str  # export | finish (continue, export last) | resume
    engine: str
    saved_tokens: int


def recovery_order(
    streams: Sequence[Stream], notice_s: float, export_tokens_per_s: float
) -> tuple[RecoveryStep, ...]:
    """Returns the exports in order, then the streams that may finish, then those to resume.

    Exports run one after the other, so they are ordered by tokens saved per second of export.
    Streams that may finish within the notice continue. As their lengths are estimates, those that
    still run after the exports are exported too, the longest remaining one first.

    :param streams: streams of the instance.
    :param notice_s: seconds until the instance is reclaimed.
    :param export_tokens_per_s: tokens of KV cache exported per second.
    """
    ending = [one for one in streams if _ends_within(one, notice_s * _FINISH_NOTICE_SHARE)]
    others = [one for one in streams if one not in ending]
    exports, rest = _choose_exports(others, notice_s * _EXPORT_NOTICE_SHARE, export_tokens_per_s)
    steps = [_step(one, 'export', one.recomputed_tokens) for one in exports]
    ending.sort(key=lambda one: (-one.remaining_tokens / one.tokens_per_s, one.stream))
    steps += [_step(one, 'finish', one.recomputed_tokens) for one in ending]
    steps += [_step(one, 'resume', 0) for one in rest]
    core_events.log(
        events.RECOVERY_ORDERED,
        notice_s=notice_s,
        exports=len(exports),
        ending=len(ending),
        resumed=len(rest),
        saved_tokens=sum(step.saved_tokens for step in steps),
        recomputed_tokens=sum(one.recomputed_tokens for one in rest),
    )
    return tuple(steps)


def _choose_exports(
    streams: list[Stream], seconds: float, export_tokens_per_s: float
) -> tuple[list[Stream], list[Stream]]:
    costs = [(one, _EXPORT_OVERHEAD_S + one.kv_tokens / export_tokens_per_s) for one in streams]
    costs.sort(key=lambda pair: (-pair[0].recomputed_tokens / pair[1], pair[0].stream))
    exports, rest = [], []
    for stream, export_s in costs:
        if stream.recomputed_tokens and export_s <= seconds:
            seconds -= export_s
            exports.append(stream)
        else:
            rest.append(stream)
    return exports, rest


def _ends_within(stream: Stream, seconds: float) -> bool:
    return stream.remaining_tokens <= stream.tokens_per_s * seconds


def _step(stream: Stream, action: str, saved_tokens: int) -> RecoveryStep:
    return RecoveryStep(
        stream=stream.stream,
        action=action,
        engine=stream.best_engine,
        saved_tokens=saved_tokens,
    )
