"""Carries out the duties, on the leader only: usage reports and orders of backend servers."""

from geraniumrail.control import events
from geraniumrail.control.control import Control
from geraniumrail.control.duty_call import DutyAnswer, DutyCall, DutyTarget, UsageReport
from geraniumrail.control.fleet_planner import FleetPlanner
from geraniumrail.core.events import log
from geraniumrail.state import commands

# Entries report every second; a window is closed after their last reports on it.
CLOSE_DELAY_S = 2.2
RETRY_S = 0.5
# Longest delay of an entry's report on its way to the leader.
REPORT_DELAY_S = 0.3
# For this time a new leader also waits for entries that reported only to the earlier leader. It
# is limited to a few windows, since an entry that was removed for good would delay each report.
EARLIER_ENTRIES_WAIT_S = 20.0
# Time reserved for the call and one retry after the wait for an entry that is cut off.
CALL_RESERVE_S = 2.0
# Number of ended windows that are reported: entries repeat their counts of these. What an earlier
# leader wrote to the log about older windows is not changed.
RECENT_WINDOWS = 3


class Duties:
    """Reports usage and orders backend servers as the only holder of the duties.

    Invariant: the counts of a window are written to the log before they are reported, and no other
    counts are reported for it. A new holder waits for the time within which holders must not
    alternate, so that its calls and those of the previous holder are not interleaved.
    """

    name = 'duties'

    def __init__(
        self,
        control: Control,
        target: DutyTarget,
        holder: str,
        window_s: float,
        lease_s: float,
        fleet_planner: FleetPlanner | None,
        report_due_s: float = 0,
    ) -> None:
        """Connects the parts.

        :param control: the control role of this process.
        :param target: API that receives the calls.
        :param holder: name of this instance.
        :param window_s: length of a usage window in seconds; 0: usage is not reported.
        :param lease_s: time in seconds within which holders must not alternate.
        :param fleet_planner: plans the orders; None: nothing is ordered.
        :param report_due_s: seconds after the end of a window within which its report is due.
        """
        self._control = control
        self._target = target
        self._holder = holder
        self._window_s = window_s
        self._lease_s = lease_s
        self._fleet_planner = fleet_planner
        self._max_wait_s = report_due_s - CALL_RESERVE_S
        self._call: DutyCall | None = None
        self._started_at = control.now()
        self._retry_at: float = 0

    def became_leader(self) -> None:
        """Drops the fencing number of an earlier leadership."""
        self._call = None
        self._started_at = self._control.now()
        if self._fleet_planner is not None:
            self._fleet_planner.became_leader()

    async def run_once(self) -> None:
        """Claims the duties if needed, then makes the calls that are due.

        :raises GeraniumrailError: if a command could not be committed.
        """
        now = self._control.now()
        if now < self._retry_at or not self._control.machine.tables.deployment.version:
            return
        if self._call is None:
            await self._claim(now)
        if self._call is not None:
            await self._report_usage(self._call)
        if self._call is not None and self._fleet_planner is not None:
            await self._send_orders(self._call, self._fleet_planner)

    async def _claim(self, now: float) -> None:
        held = self._control.machine.tables.duty
        held_by_another = held.holder not in {'', self._holder}
        if held_by_another and now - self._started_at < self._lease_s:
            return
        claimed = await self._control.proposer.propose(commands.TakeDuty(holder=self._holder))
        self._call = DutyCall(holder=self._holder, number=claimed.number)
        log(events.DUTY_TAKEN, holder=self._holder, number=claimed.number)

    async def _report_usage(self, call: DutyCall) -> None:
        if not self._window_s:
            return
        tables = self._control.machine.tables
        closing = int((self._control.agreed_wall_time() - CLOSE_DELAY_S) // self._window_s)
        for window in range(closing - RECENT_WINDOWS, closing):
            closed = tables.windows_by_number.get(window)
            if closed is None:
                if window not in self._complete_windows(closing) or self._is_waited_for(window):
                    continue
                names = (each.name for each in tables.deployment.organisations)
                counts = self._control.publisher.usage_ledger.counts(window, names)
                closed = await self._control.proposer.propose(
                    commands.CloseWindow(
                        window=window,
                        counts=counts,
                        instances=self._reporting_instances(),
                    )
                )
            if not closed.sent and not await self._send(call, closed.window, closed.counts):
                return

    def _complete_windows(self, closing: int) -> range:
        """Returns the windows whose counts all entries have reported to this leader."""
        leading_s = self._control.now() - self._started_at
        newest = closing - 1
        return range(newest - RECENT_WINDOWS, closing) if leading_s > CLOSE_DELAY_S else range(0)

    def _reporting_instances(self) -> tuple[str, ...]:
        """Returns the instances to wait for; a new leader adds those of the earlier leader."""
        reporting = self._control.publisher.usage_ledger.reporting_instances()
        if self._control.now() - self._started_at > EARLIER_ENTRIES_WAIT_S:
            return reporting
        earlier = self._control.machine.tables.reporting_instances
        return tuple(sorted({*reporting, *earlier}))

    def _is_waited_for(self, window: int) -> bool:
        """Returns whether an entry that is cut off may still report its counts in time."""
        ended_s = self._control.agreed_wall_time() - (window + 1) * self._window_s
        since = self._control.now() - ended_s + REPORT_DELAY_S
        expected = self._control.machine.tables.reporting_instances
        ledger = self._control.publisher.usage_ledger
        return ended_s < self._max_wait_s and not ledger.is_complete(since, expected)

    async def _send(self, call: DutyCall, window: int, counts: dict[str, int]) -> bool:
        if not self._is_leader():
            return False
        answer = await self._target.report(call, UsageReport(window=window, counts=counts))
        if answer is DutyAnswer.accepted:
            log(events.USAGE_SENT, window=window, number=call.number, counts=counts)
            await self._control.proposer.propose(commands.WindowSent(window=window))
            return True
        self._handle_refusal(answer, 'usage', f'window {window}')
        return False

    async def _send_orders(self, call: DutyCall, fleet_planner: FleetPlanner) -> None:
        for order in fleet_planner.due_orders():
            if not self._is_leader():
                return
            answer = await self._target.order(call, order)
            fleet_planner.record_answer(order, answer)
            log(
                events.FLEET_ORDERED,
                service=order.service,
                data_centre=order.data_centre,
                count=order.count,
                reclaimable=order.reclaimable,
                number=call.number,
                answer=answer.value,
            )

    def _is_leader(self) -> bool:
        """Returns whether this process still leads: it may have been suspended in the meantime."""
        return self._control.leadership.is_active()

    def _handle_refusal(self, answer: DutyAnswer, duty: str, subject: str) -> None:
        log(events.DUTY_REFUSED, duty=duty, subject=subject, answer=answer.value)
        self._retry_at = self._control.now() + RETRY_S
        if answer is DutyAnswer.conflict:
            self._call = None
            self._started_at = self._control.now()
