"""What the stand-in cloud API keeps: instances, prices and notices."""

import dataclasses
import itertools
import random
import time

RECLAIM = 'reclaim'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Instance:
    """One instance; no process belongs to it."""

    instance: str
    machine_class: str
    data_centre: str
    reclaimable: bool
    state: str = 'running'  # running | reclaiming | ended
    started_at: float = 0  # wall clock, in seconds


@dataclasses.dataclass(frozen=True, kw_only=True)
class Notice:
    """An announced reclaim."""

    sequence: int
    instance: str
    kind: str
    at: float  # wall clock of the notice, in seconds
    ends_at: float  # wall clock of the end of the instance, in seconds


@dataclasses.dataclass(frozen=True, kw_only=True)
class CloudFault:
    """What the cloud does from now on."""

    refuse_share: float = 0  # of the starts
    refuse_data_centres: tuple[str, ...] = ()
    reclaim_data_centre: str = ''  # announces a reclaim of its reclaimable instances
    reclaim_instances: tuple[str, ...] = ()
    notice_s: float = 10


class CloudRecords:
    """All records."""

    def __init__(self, rng: random.Random) -> None:
        """Starts with no instance.

        :param rng: decides which starts are refused.
        """
        self.instances_by_id: dict[str, Instance] = {}
        self.notices: list[Notice] = []
        self._rng = rng
        self._fault = CloudFault()
        self._numbers = itertools.count(1)

    def refuses(self, data_centre: str) -> bool:
        """Draws whether a start is refused."""
        if data_centre in self._fault.refuse_data_centres:
            return True
        return self._rng.random() < self._fault.refuse_share

    def start(self, machine_class: str, data_centre: str, *, reclaimable: bool) -> Instance:
        """Adds an instance."""
        started = Instance(
            instance=f'i-{next(self._numbers)}',
            machine_class=machine_class,
            data_centre=data_centre,
            reclaimable=reclaimable,
            started_at=time.time(),
        )
        self.instances_by_id[started.instance] = started
        return started

    def end(self, instance: str) -> Instance | None:
        """Ends an instance; None if it is not known."""
        known = self.instances_by_id.get(instance)
        if known is None:
            return None
        ended = dataclasses.replace(known, state='ended')
        self.instances_by_id[instance] = ended
        return ended

    def apply_fault(self, fault: CloudFault) -> tuple[Notice, ...]:
        """Sets the refusals and announces the reclaims that the fault asks for."""
        self._fault = fault
        hit = [
            instance
            for instance in self.instances_by_id.values()
            if instance.state == 'running' and _reclaimed(fault, instance)
        ]
        return tuple(self._announce(instance, fault.notice_s) for instance in hit)

    def _announce(self, instance: Instance, notice_s: float) -> Notice:
        now = time.time()
        notice = Notice(
            sequence=len(self.notices) + 1,
            instance=instance.instance,
            kind=RECLAIM,
            at=now,
            ends_at=now + notice_s,
        )
        self.notices.append(notice)
        self.instances_by_id[instance.instance] = dataclasses.replace(instance, state='reclaiming')
        return notice


def _reclaimed(fault: CloudFault, instance: Instance) -> bool:
    in_wave = instance.data_centre == fault.reclaim_data_centre
    return instance.reclaimable and (in_wave or instance.instance in fault.reclaim_instances)
