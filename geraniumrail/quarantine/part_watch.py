"""What one entry knows of requests that crash backend servers."""

import asyncio
import collections
import itertools
import math
from collections.abc import Awaitable, Callable, Iterable

from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.errors.request import NotRunError
from geraniumrail.quarantine import events
from geraniumrail.quarantine.crash_note import CrashNote
from geraniumrail.quarantine.fingerprint import is_fingerprint
from geraniumrail.quarantine.held_back import HeldBack
from geraniumrail.quarantine.quarantine import Quarantine
from geraniumrail.quarantine.sound_part import SoundPart
from geraniumrail.quarantine.sound_times import Key, SoundTimes

# An engine that crashes on a request does so as its answer begins; one that has gone on for so long
# has proved the request harmless.
PROOF_S = 0.25
# The requests of one backend server fail within this time of each other.
COLLECT_S = 0.02
MAX_NOTES = 32
NOTE_S = 600.0  # a new leader is told of crashes of so long ago
MAX_NOTED_REQUESTS = 128  # different ones, of one crash
MAX_LOGGED_REQUESTS = 8
LEAST_RETRY_S = 5.0  # a trial may end the quarantine within this time
# Nobody knows when an operator releases a quarantine; callers learn of it within this time.
FINAL_RETRY_S = 900.0
# One entry after the other may send a trial; its outcome is known well within this time.
TRIAL_TURN_S = 20.0

Traits = tuple[str, ...]  # shared prompt parts, and the fingerprint of the whole request
Probe = Callable[[Backend], Awaitable[bool]]
_Noted = tuple[CrashNote, float]  # and when it was taken down


class PartWatch:
    """Tells crashed backend servers from lost connections, and holds back quarantined requests.

    The control leader owns the quarantines: an entry follows it, and an entry that has lost it
    stops serving before a quarantine could end.
    """

    def __init__(self, clock: Clock, refuses_connections: Probe) -> None:
        """Starts without knowledge.

        :param clock: time.
        :param refuses_connections: tells whether a backend server's address has no listener.
        """
        self.on_news: Callable[[], None] = _ignore
        self._clock = clock
        self.refuses_connections = refuses_connections
        self._quarantines: tuple[Quarantine, ...] = ()
        self._watched: frozenset[Key] = frozenset()
        self._trials: frozenset[str] = frozenset()
        self._used_trials: dict[tuple[str, float], float] = {}  # and when
        self.held_back = HeldBack()
        self._sound_times = SoundTimes()
        self._reported_sound_at: dict[Key, float] = {}
        self._noted: collections.deque[_Noted] = collections.deque(maxlen=MAX_NOTES)
        self._unsent_notes = 0
        self._lost_requests: dict[str, dict[Traits, None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def quarantines(self) -> tuple[Quarantine, ...]:
        """The quarantines in force."""
        return self._quarantines

    def require_sound(self, service: str, traits: Iterable[str], wall: float) -> None:
        """Checks that a request may be sent, and uses up a trial if it is one.

        :param service: the service that the request is for.
        :param traits: shared parts of its prompt, and its fingerprint.
        :param wall: time of day that the processes agree on.
        :raises NotRunError: if it would crash a backend server.
        """
        found = self._covering(service, traits)
        self.held_back.record(found, self._clock.now())
        is_final = any(each.is_final for each in found)
        ends_at = max((each.until for each in found), default=0)
        # The first update with a new end may still grant the trial that has failed.
        is_due = wall >= ends_at and not is_final
        if found and not (is_due and self._use_trials(found, service, traits)):
            least_s = FINAL_RETRY_S if is_final else LEAST_RETRY_S
            raise NotRunError(
                reason='requests like this one crash backend servers',
                retry_after_s=round(max(least_s, ends_at - wall), 3),
            )

    def quarantine_of(self, service: str, traits: Iterable[str]) -> Quarantine | None:
        """Returns the quarantine that holds back a request, or None.

        :param service: the service that the request is for.
        :param traits: shared parts of its prompt, and its fingerprint.
        """
        return next(iter(self._covering(service, traits)), None)

    def record_answer(self, service: str, traits: Iterable[str], began_at: float) -> None:
        """Records a request whose answer has begun and whose backend server went on.

        :param service: the service that answered.
        :param traits: shared parts of its prompt, and its fingerprint.
        :param began_at: when the answer began, seconds of this process's clock.
        """
        for trait in traits:
            key = (service, trait)
            self._sound_times.record(key, began_at)
            if key in self._watched and began_at > self._reported_sound_at.get(key, 0):
                self.on_news()

    def record_loss(self, backend: Backend, traits: Iterable[str]) -> None:
        """Records a connection that was lost before the answer was proved sound.

        :param backend: the backend server.
        :param traits: shared parts of its prompt, and its fingerprint.
        """
        named = tuple(traits)
        if not named:
            return
        is_first = backend.instance not in self._lost_requests
        waiting = self._lost_requests.setdefault(backend.instance, {})
        if len(waiting) < MAX_NOTED_REQUESTS:
            waiting[named] = None
        if is_first:
            task = asyncio.create_task(self._confirm(backend), name='crash-probe')
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def take(
        self,
        quarantines: tuple[Quarantine, ...] | None,
        watched: dict[str, tuple[str, ...]] | None,
        trials: tuple[str, ...],
    ) -> None:
        """Applies an update of the control leader.

        :param quarantines: in force from now on; None: unchanged.
        :param watched: traits of which answers are reported, by service; None: unchanged.
        :param trials: quarantines of which this entry may send one request.
        """
        self._trials = frozenset(trials)
        if quarantines is not None and quarantines != self._quarantines:
            self._quarantines = quarantines
            ends = {(each.label, each.until) for each in quarantines}
            self._used_trials = {
                trial: at for trial, at in self._used_trials.items() if trial in ends
            }
            self.held_back.keep(frozenset(each.label for each in quarantines))
            log(events.APPLIED, quarantines=[each.label for each in quarantines])
        if watched is not None:
            self._watched = frozenset(
                (service, trait) for service, traits in watched.items() for trait in traits
            )
            self._reported_sound_at = {
                key: at for key, at in self._reported_sound_at.items() if key in self._watched
            }
            if any(self._is_due(key) for key in self._watched):
                self.on_news()

    def report(self) -> tuple[tuple[CrashNote, ...], tuple[SoundPart, ...]]:
        """Returns what the control leader has not been told."""
        now = self._clock.now()
        notes = tuple(self._noted)[len(self._noted) - self._unsent_notes :]
        self._unsent_notes = 0
        crashes = tuple(_aged(note, now - at) for note, at in notes if now - at < NOTE_S)
        due = [key for key in self._watched if self._is_due(key)]
        self._reported_sound_at.update({key: self._sound_times.last(key) for key in due})
        sounds = tuple(
            SoundPart(
                service=key[0], part=key[1], age_s=round(now - self._sound_times.last(key), 3)
            )
            for key in due
        )
        return crashes, sounds

    def requeue_all(self) -> None:
        """Reports everything again: a new leader knows only the quarantines."""
        self._unsent_notes = len(self._noted)
        self._reported_sound_at = {}
        self.held_back.requeue_all()

    def _is_due(self, key: Key) -> bool:
        """Returns whether there is an answer that the leader has not been told of."""
        return self._sound_times.last(key) > self._reported_sound_at.get(key, 0)

    def _covering(self, service: str, traits: Iterable[str]) -> tuple[Quarantine, ...]:
        if not self._quarantines:
            return ()
        wanted = frozenset(traits)
        return tuple(each for each in self._quarantines if each.covers(service, wanted))

    def _use_trials(
        self, quarantines: tuple[Quarantine, ...], service: str, traits: Iterable[str]
    ) -> bool:
        """Uses up a trial of each quarantine that holds a request back, if all have one.

        A request that was at a crash itself proves nothing about its parts by one more. A trial
        that was refused, or whose caller left, had no outcome: the entry's next turn repeats it.
        """
        trials = frozenset((each.label, each.until) for each in quarantines)
        now = self._clock.now()
        if any(now < self._used_trials.get(trial, -math.inf) + TRIAL_TURN_S for trial in trials):
            return False
        if not self._trials.issuperset(each.label for each in quarantines):
            return False
        suspects = {
            trait for trait in traits if is_fingerprint(trait) and (service, trait) in self._watched
        }
        if not all(suspects.issubset(each.parts) for each in quarantines):
            return False
        self._used_trials.update(dict.fromkeys(trials, now))
        for quarantine in quarantines:
            log(events.TRIAL, quarantine=quarantine.label, failures=quarantine.failures)
        return True

    async def _confirm(self, backend: Backend) -> None:
        await self._clock.sleep(COLLECT_S)
        ended = await self.refuses_connections(backend)
        requests = tuple(self._lost_requests.pop(backend.instance, ()))
        if not ended:
            log(events.CRASH_NOT_CONFIRMED, backend=backend.instance, requests=len(requests))
            return
        note = CrashNote(
            service=backend.service,
            instance=backend.instance,
            incarnation=backend.incarnation,
            requests=requests,
        )
        log(
            events.CRASH_NOTED,
            backend=backend.instance,
            service=backend.service,
            count=len(requests),
            requests=[list(traits) for traits in itertools.islice(requests, MAX_LOGGED_REQUESTS)],
        )
        self._noted.append((note, self._clock.now()))
        self._unsent_notes = min(MAX_NOTES, self._unsent_notes + 1)
        self.on_news()


def _ignore() -> None:
    """Stands in until the entry has a link to the control leader."""


def _aged(note: CrashNote, age_s: float) -> CrashNote:
    return CrashNote(
        service=note.service,
        instance=note.instance,
        incarnation=note.incarnation,
        requests=note.requests,
        age_s=round(age_s, 3),
    )
