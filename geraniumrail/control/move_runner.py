"""Runs the version moves: passes outcomes to their controllers and records the decisions."""

import functools

from geraniumrail.control import events
from geraniumrail.control.proposer import Proposer
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.errors.state import MoveConflictError, MoveEndedError
from geraniumrail.links.messages import EntryReport
from geraniumrail.rollout.move_controller import MoveController
from geraniumrail.rollout.move_end import MoveEnd
from geraniumrail.rollout.move_spec import MoveSpec
from geraniumrail.rollout.move_step import MoveStep
from geraniumrail.settings.resolve import resolve
from geraniumrail.state import commands
from geraniumrail.state.machine import Machine
from geraniumrail.state.move import Move


class MoveRunner:
    """Runs on the leader; a new leader resumes each move and collects new outcomes."""

    def __init__(self, machine: Machine, proposer: Proposer, clock: Clock) -> None:
        """Connects the parts.

        :param machine: replicated state.
        :param proposer: proposes commands.
        :param clock: time.
        """
        self._machine = machine
        self._proposer = proposer
        self._clock = clock
        self._controllers_by_move_id: dict[str, MoveController] = {}

    def became_leader(self) -> None:
        """Drops the outcomes collected in an earlier leadership."""
        self._controllers_by_move_id = {}

    def observe(self, report: EntryReport, now: float) -> None:
        """Passes the outcomes of one entry to the controllers.

        :param report: the entry's report.
        :param now: monotonic seconds.
        """
        for controller in self._controllers_by_move_id.values():
            controller.observe(
                report.outcomes,
                report.breakers,
                report.info.entry,
                self._clock.wall(),
            )

    async def run_once(self) -> None:
        """Records the decisions of the controllers in the log."""
        moves = self._machine.tables.moves_by_id
        running = tuple(move for move in moves.values() if move.running())
        for move in running:
            controller = self._controller(move)
            decision = controller.decide(self._clock.wall())
            if decision is not None:
                await self._record(decision, controller)
        self._controllers_by_move_id = {
            move_id: controller
            for move_id, controller in self._controllers_by_move_id.items()
            if move_id in moves and moves[move_id].running()
        }

    async def _record(self, decision: MoveStep | MoveEnd, controller: MoveController) -> None:
        command = to_command(decision, self._clock.wall())
        try:
            result = await self._proposer.propose(command)
        except (MoveEndedError, MoveConflictError):
            # An operator or an earlier leader changed the move first; the log prevails.
            self._controllers_by_move_id.pop(decision.move_id, None)
            return
        if isinstance(decision, MoveStep):
            controller.confirm_step(decision, self._clock.wall())
        event = events.MOVE_STEPPED if result.move.running() else events.MOVE_ENDED
        log(
            event,
            move=result.move.move_id,
            service=result.move.service,
            phase=result.move.phase,
            step=result.move.step,
            share=round(result.move.share, 4),
            reason=result.move.reason,
        )

    def _controller(self, move: Move) -> MoveController:
        controller = self._controllers_by_move_id.get(move.move_id)
        if controller is None:
            controller = self._new_controller(move)
            self._controllers_by_move_id[move.move_id] = controller
        return controller

    def _new_controller(self, move: Move) -> MoveController:
        settings = resolve(self._machine.tables.tree, '*', move.service, '')
        spec = MoveSpec(
            move_id=move.move_id,
            service=move.service,
            from_version=move.from_version,
            to_version=move.to_version,
            started_at=move.started_at,
            deadline=move.deadline,
            canary_share=settings.canary_share,
        )
        now = self._clock.wall()
        if not move.step:
            return MoveController.from_start(spec, now)
        return MoveController.resume(spec, move.step, move.share, move.stepped_at, now)


@functools.singledispatch
def to_command(decision: object, at: float) -> object:
    """Returns the command that records a decision.

    :param decision: a `MoveStep` or `MoveEnd`.
    :param at: wall seconds.
    """
    raise TypeError(type(decision).__name__)


@to_command.register
def _step_command(decision: MoveStep, at: float) -> commands.StepMove:
    return commands.StepMove(
        move_id=decision.move_id,
        step=decision.step,
        share=decision.share,
        reason=decision.reason,
        at=at,
    )


@to_command.register
def _end_command(decision: MoveEnd, at: float) -> commands.EndMove:
    return commands.EndMove(
        move_id=decision.move_id,
        phase=decision.phase.value,
        reason=f'{decision.reason.value}: {decision.detail}',
        at=at,
    )
