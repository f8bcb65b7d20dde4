"""Commands on version moves: one running move for each service, one recorded end for each move."""

import dataclasses

from geraniumrail.errors.state import MoveConflictError, MoveEndedError, UnknownMoveError
from geraniumrail.settings.resolve import resolve
from geraniumrail.settings.schema import SETTINGS_BY_KEY
from geraniumrail.state import commands, results
from geraniumrail.state.apply import apply
from geraniumrail.state.apply_settings import MOVED_KEY, change_tree, remember
from geraniumrail.state.move import MOVE_ENDS, Move
from geraniumrail.state.tables import Tables

MAX_MOVES = 1000
# Operators may not use ids with this prefix: a move must not replace the result of their change.
MOVE_CHANGE_PREFIX = 'move:'


def _find(tables: Tables, move_id: str) -> Move:
    found = tables.moves_by_id.get(move_id)
    if found is None:
        raise UnknownMoveError(move_id=move_id)
    return found


def _store(tables: Tables, move: Move) -> results.MoveUpdated:
    tables.moves_by_id[move.move_id] = move
    ended = [known.move_id for known in tables.moves_by_id.values() if not known.running()]
    for move_id in ended[: max(0, len(tables.moves_by_id) - MAX_MOVES)]:
        tables.moves_by_id.pop(move_id)
    return results.MoveUpdated(move=move)


@apply.register
def _start(command: commands.StartMove, tables: Tables) -> object:
    earlier = tables.moves_by_id.get(command.move_id)
    if earlier is not None:
        return results.MoveUpdated(move=earlier)
    running = tables.running_move(command.service)
    if running is not None:
        raise MoveConflictError(
            move_id=command.move_id,
            reason=f'move {running.move_id} of {command.service} is running',
        )
    SETTINGS_BY_KEY[MOVED_KEY].check(f'/*/{command.service}', command.to_version)
    from_version = resolve(tables.tree, '*', command.service, '').version
    if command.from_version and not from_version:
        # From here on no version but these two may serve, also after the move was taken back.
        _set_version(tables, command.service, command.from_version, f'{command.move_id}:from')
        from_version = command.from_version
    if not from_version:
        raise MoveConflictError(
            move_id=command.move_id,
            reason=f'node /*/{command.service} sets no version to move from',
        )
    if from_version == command.to_version:
        raise MoveConflictError(
            move_id=command.move_id,
            reason=f'{command.service} is at version {from_version} already',
        )
    move = Move(
        move_id=command.move_id,
        service=command.service,
        from_version=from_version,
        to_version=command.to_version,
        deadline=command.deadline,
        operator=command.operator,
        started_at=command.at,
        stepped_at=command.at,
    )
    return _store(tables, move)


@apply.register
def _step(command: commands.StepMove, tables: Tables) -> object:
    found = _find(tables, command.move_id)
    if not found.running():
        raise MoveEndedError(move_id=found.move_id, phase=found.phase, reason=found.reason)
    if command.step == found.step and command.share == found.share:
        return results.MoveUpdated(move=found)
    if command.step != found.step + 1:
        raise MoveConflictError(
            move_id=found.move_id,
            reason=f'step {command.step} does not follow {found.step}',
        )
    stepped = dataclasses.replace(
        found,
        step=command.step,
        share=command.share,
        stepped_at=command.at,
        reason=command.reason,
    )
    return _store(tables, stepped)


@apply.register
def _end(command: commands.EndMove, tables: Tables) -> object:
    found = _find(tables, command.move_id)
    if not found.running() or command.phase not in MOVE_ENDS:
        raise MoveEndedError(move_id=found.move_id, phase=found.phase, reason=found.reason)
    ended = dataclasses.replace(
        found,
        phase=command.phase,
        reason=command.reason,
        ended_at=command.at,
        share=float(command.phase == 'done'),
    )
    if command.phase == 'done':
        _record_version(ended, tables)
    return _store(tables, ended)


def _record_version(move: Move, tables: Tables) -> None:
    _set_version(tables, move.service, move.to_version, move.move_id, move.ended_at)


def _set_version(tables: Tables, service: str, version: str, change: str, at: float = 0) -> None:
    path = f'/*/{service}'
    node = tables.tree.nodes_by_path.get(path)
    command = commands.ChangeSettings(
        change_id=f'{MOVE_CHANGE_PREFIX}{change}',
        path=path,
        expected_version=node.version if node else 0,
        values={MOVED_KEY: version},
        operator='move',
        at=at,
    )
    remember(command, tables, change_tree(command, tables))
