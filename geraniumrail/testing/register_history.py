"""Histories of compare-and-set registers, and a check that they are linearizable.

Each successful write takes the next version and values are unique, so the order of the effects is
known: it remains to compare it with the order in real time.
"""

import dataclasses
import itertools
import math


@dataclasses.dataclass(kw_only=True)
class Operation:
    """One operation of one operator on one node."""

    path: str
    kind: str  # write | read
    invoked_at: float
    completed_at: float = math.inf  # never, while the outcome is unknown
    outcome: str = 'unknown'  # unknown | done | conflict | not_run
    change_id: str = ''
    expected: int = 0
    wanted: float = 0  # value to write
    version: int = 0  # after a write, or found by a read or a conflict
    found: float | None = None  # value that a read found


def check(operations: list[Operation]) -> list[str]:
    """Returns what contradicts a compare-and-set register for each path.

    :param operations: history of all operators.
    """
    paths = sorted({operation.path for operation in operations})
    registers = ([each for each in operations if each.path == path] for path in paths)
    return list(itertools.chain.from_iterable(map(_check_register, registers)))


def _check_register(operations: list[Operation]) -> list[str]:
    problems = []
    writes = [each for each in operations if each.kind == 'write']
    writers: dict[int, Operation] = {}
    for write in writes:
        if write.outcome != 'done':
            continue
        if write.version != write.expected + 1:
            problems.append(f'{write.change_id} expected {write.expected}, got {write.version}')
        other = writers.setdefault(write.version, write)
        if other is not write:
            problems.append(f'{other.change_id} and {write.change_id} both won {write.version}')
    seen = [each for each in operations if each.kind == 'read' and each.outcome == 'done']
    for read in seen:
        problems.extend(_check_read(read, writes, writers))
    refused = [each for each in writes if each.outcome == 'conflict']
    problems += [
        f'{each.change_id} was refused at the version that it expected'
        for each in refused
        if each.version == each.expected
    ]
    ordered = [(version, 0, write) for version, write in writers.items()]
    ordered += [(each.version, 1, each) for each in (*seen, *refused)]
    return problems + _check_order(ordered)


def _check_read(
    read: Operation, writes: list[Operation], writers: dict[int, Operation]
) -> list[str]:
    """Finds the write whose value was read; one whose outcome is unknown has taken effect."""
    if not read.version:
        return []
    writer = writers.get(read.version)
    if writer is None:
        possible = (
            write
            for write in writes
            if write.outcome == 'unknown'
            and (write.expected + 1, write.wanted) == (read.version, read.found)
        )
        writer = next(possible, None)
    if writer is None or writer.wanted != read.found:
        return [f'{read.path}: version {read.version} with {read.found} was never written']
    writers[read.version] = writer
    return []


def _check_order(ordered: list[tuple[int, int, Operation]]) -> list[str]:
    """Compares the order of effects (version, then write before reads) with real time."""
    problems = []
    by_end = sorted(ordered, key=lambda each: each[2].completed_at)
    by_start = sorted(ordered, key=lambda each: each[2].invoked_at)
    newest = (-1, -1)
    ended = 0
    for version, rank, operation in by_start:
        while by_end[ended][2].completed_at < operation.invoked_at:
            newest = max(newest, by_end[ended][:2])
            ended += 1
        # Two reads of one version may follow each other; a write may not follow its own version.
        if (version, rank) < newest or (rank == 0 and (version, rank) == newest):
            problems.append(
                f'{operation.path}: {operation.kind} at version {version} began after '
                f'version {newest[0]} was seen'
            )
    return problems
