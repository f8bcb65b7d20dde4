"""Holds the duties: usage reports and orders of backend servers, on the leader only."""

from geraniumrail.control import events
from geraniumrail.control.control import Control
from geraniumrail.control.duty_call import DutyAnswer, DutyCall, DutyTarget, UsageReport
from geraniumrail.control.fleet_planner import FleetPlanner
from geraniumrail.core.events import log
from geraniumrail.state import commands

# Reports of the entries arrive every second; a window is closed after the last ones.
CLOSE_DELAY_S = 2.2
RETRY_S = 0.5
# A report of an entry that was sent before the end of a window arrives within this time.
REPORT_DELAY_S = 0.3
# How long a new leader waits for entries that it has never heard: a few windows, since one that was
# removed for good would delay each report.
EARLIER_S = 20.0
# What is left for the call and a repeat when the leader has waited for an entry that is cut off.
CALLS_S = 2.0
# Windows that ended before this leader knew the entries' counts are left to the earlier leader's
# log; the counts of these are repeated by the entries.
RECENT_WINDOWS = 3


class Duties:
    """Invariant: a window is fixed in the log before it is reported, and never reported otherwise.

    A new holder waits as long as holders must not alternate, so that no order of the holder before
    it can follow one of its own and be followed by a third.
    """

    name = 'duties'

    def __init__(
        self,
        control: Control,
        target: DutyTarget,
        holder: str,
        window_s: float,
        lease_s: float,
        fleet: FleetPlanner | None,
        late_s: float = 0,
    ) -> None:
        """Connects the parts.

        :param control: the control role of this process.
        :param target: takes the calls.
        :param holder: name of this instance.
        :param window_s: length of a usage window; 0: usage is not reported.
        :param lease_s: time within which holders must not alternate.
        :param fleet: decides the orders; None: nothing is ordered.
        :param late_s: time after the end of a window in which its report is due.
        """
        self._control = control
        self._target = target
        self._holder = holder
        self._window_s = window_s
        self._lease_s = lease_s
        self._fleet = fleet
        self._wait_s = late_s - CALLS_S
        self._call: DutyCall | None = None
        self._since = control.now()
        self._retry_at: float = 0

    def became_leader(self) -> None:
        """Forgets the number of an earlier leadership."""
        self._call = None
        self._since = self._control.now()
        if self._fleet is not None:
            self._fleet.became_leader()

    async def run_once(self) -> None:
        """Does what is due.

        :raises GeraniumrailError: if the log can't be written now.
        """
        now = self._control.now()
        if now < self._retry_at or not self._control.machine.tables.deployment.version:
            return
        if self._call is None:
            await self._take(now)
        if self._call is not None:
            await self._report_usage(self._call)
        if self._call is not None and self._fleet is not None:
            await self._order(self._call, self._fleet)

    async def _take(self, now: float) -> None:
        held = self._control.machine.tables.duty
        waits = held.holder not in {'', self._holder}
        if waits and now - self._since < self._lease_s:
            return
        taken = await self._control.proposer.propose(commands.TakeDuty(holder=self._holder))
        self._call = DutyCall(holder=self._holder, number=taken.number)
        log(events.DUTY_TAKEN, holder=self._holder, number=taken.number)

    async def _report_usage(self, call: DutyCall) -> None:
        if not self._window_s:
            return
        tables = self._control.machine.tables
        closing = int((self._control.agreed_wall_time() - CLOSE_DELAY_S) // self._window_s)
        for window in range(closing - RECENT_WINDOWS, closing):
            fixed = tables.windows_by_number.get(window)
            if fixed is None:
                if window not in self._known_windows(closing) or self._is_waited_for(window):
                    continue
                names = (each.name for each in tables.deployment.organisations)
                counts = self._control.publisher.usage_ledger.counts(window, names)
                fixed = await self._control.proposer.propose(
                    commands.CloseWindow(
                        window=window,
                        counts=counts,
                        instances=self._reporting_instances(),
                    )
                )
            if not fixed.sent and not await self._send(call, fixed.window, fixed.counts):
                return

    def _known_windows(self, closing: int) -> range:
        """Returns the windows whose counts all entries have reported to this leader."""
        led_s = self._control.now() - self._since
        newest = closing - 1
        return range(newest - RECENT_WINDOWS, closing) if led_s > CLOSE_DELAY_S else range(0)

    def _reporting_instances(self) -> tuple[str, ...]:
        """Returns the instances to wait for, at first those of the earlier leader as well."""
        heard = self._control.publisher.usage_ledger.reporting_instances()
        if self._control.now() - self._since > EARLIER_S:
            return heard
        earlier = self._control.machine.tables.reporting_instances
        return tuple(sorted({*heard, *earlier}))

    def _is_waited_for(self, window: int) -> bool:
        """Tells whether an entry that is cut off may still report its counts in time."""
        ended_s = self._control.agreed_wall_time() - (window + 1) * self._window_s
        since = self._control.now() - ended_s + REPORT_DELAY_S
        expected = self._control.machine.tables.reporting_instances
        ledger = self._control.publisher.usage_ledger
        return ended_s < self._wait_s and not ledger.is_complete(since, expected)

    async def _send(self, call: DutyCall, window: int, counts: dict[str, int]) -> bool:
        if not self._may_act():
            return False
        answer = await self._target.report(call, UsageReport(window=window, counts=counts))
        if answer is DutyAnswer.accepted:
            log(events.USAGE_SENT, window=window, number=call.number, counts=counts)
            await self._control.proposer.propose(commands.WindowSent(window=window))
            return True
        self._refused(answer, 'usage', f'window {window}')
        return False

    async def _order(self, call: DutyCall, fleet: FleetPlanner) -> None:
        for order in fleet.due_orders():
            if not self._may_act():
                return
            answer = await self._target.order(call, order)
            fleet.record_answer(order, answer)
            log(
                events.FLEET_ORDERED,
                service=order.service,
                data_centre=order.data_centre,
                count=order.count,
                reclaimable=order.reclaimable,
                number=call.number,
                answer=answer.value,
            )

    def _may_act(self) -> bool:
        """Tells whether this process still leads: it may have stood still since it looked."""
        return self._control.leadership.is_active()

    def _refused(self, answer: DutyAnswer, duty: str, subject: str) -> None:
        log(events.DUTY_REFUSED, duty=duty, subject=subject, answer=answer.value)
        self._retry_at = self._control.now() + RETRY_S
        if answer is DutyAnswer.conflict:
            self._call = None
            self._since = self._control.now()
