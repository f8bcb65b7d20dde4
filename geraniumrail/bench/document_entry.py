"""An entry whose callers' prompts share system and document parts, as on the wire."""

import functools
import itertools
import random

from geraniumrail.bench.fleet import Fleet
from geraniumrail.bench.job import Job
from geraniumrail.bench.load_model import EXPECTED_ANSWER_TOKENS, NETWORK_S, DirectEntry
from geraniumrail.bench.virtual_time import VirtualTime
from geraniumrail.core.load_report import LoadReport
from geraniumrail.forwarding.speed_notes import MIN_PAUSES
from geraniumrail.routing.choice import choose
from geraniumrail.routing.prefill_rate import MIN_SAMPLE_TOKENS
from geraniumrail.routing.prefix_value import Pool
from geraniumrail.routing.request import LanguageRequest


class DocumentEntry(DirectEntry):
    """Learns the load of an engine from its answers only; there are no cache events."""

    def __init__(self, number: int, entries: int, fleet: Fleet, time: VirtualTime, seed: int):
        """Starts without knowledge.

        :param number: of the entry.
        :param entries: in all.
        :param fleet: engines.
        :param time: event queue.
        :param seed: of this entry's draws.
        """
        super().__init__(number, choose, fleet, time, seed)
        self.knowledge.limits.entries = entries
        self._instances = [each.instance for each in fleet.backends]
        self._value = self.knowledge.prefix_values['bench']
        self._entries = entries

    def submit(self, job: Job) -> None:
        """Sends a job.

        :param job: request; `part_blocks` tells which leading blocks are parts.
        """
        now = self._time.now
        request = self._request(job)
        decision = self._choose(self._fleet.backends, request, self.knowledge, self._rng, now)
        name = decision.backend.instance
        cached = decision.cached_tokens or 0
        unread = job.prompt_tokens - cached
        self._value.sent(job.prompt_tokens, cached, EXPECTED_ANSWER_TOKENS, now)
        ahead = self.knowledge.pending_prompt_tokens(name)
        self.knowledge.add_pending_prompt_tokens(name, unread)
        tokens = job.prompt_tokens + EXPECTED_ANSWER_TOKENS
        self.knowledge.record_sent(name, tokens, request.prefixes, now)
        job.sent_at = now
        job.engine = name
        engine = self._fleet.engines_by_name[name]
        first = functools.partial(self._first_event, name, unread, ahead)
        last = functools.partial(self._last, name, tokens)
        self._time.after(NETWORK_S, lambda: engine.submit(job, first, last))

    def _request(self, job: Job) -> LanguageRequest:
        now = self._time.now
        ends = tuple(itertools.accumulate(job.part_blocks))
        shape = self._fleet.engines_by_name[self._instances[0]].shape
        prefixes = tuple(job.prefixes[end - 1] for end in ends)
        prefix_tokens = tuple(end * shape.block_tokens for end in ends)
        pool = Pool(
            instances=self._instances,
            kv_tokens=shape.kv_tokens,
            requests=self.knowledge.mean_occupancy * shape.slots,
            entries=self._entries,
        )
        self._value.observe(prefixes[:-1], now)
        return LanguageRequest(
            request_id=job.job_id,
            service='bench',
            model='m',
            data_centre=self._data_centre,
            region=self._region,
            prefixes=prefixes,
            prefix_tokens=prefix_tokens,
            plan=self._value.plan(prefixes[:-1], prefix_tokens, pool, now),
            prompt_tokens=job.prompt_tokens,
            shared_prefix_count=len(prefixes) - 1,
            expected_answer_tokens=EXPECTED_ANSWER_TOKENS,
        )

    def _first_event(self, name: str, unread: float, ahead: float, job: Job) -> None:
        self._first(name, job)
        knowledge, seconds = self.knowledge, self._time.now - (job.sent_at or 0)
        knowledge.add_pending_prompt_tokens(name, -unread)
        slowness = knowledge.speeds.slowness(name, self._time.now)
        knowledge.prefill_rate.observe(unread * slowness, seconds)
        report = self._fleet.engines_by_name[name].report()
        told = LoadReport(running=report.running, queued=report.queued, slots=report.slots)
        knowledge.observe_load(name, told, self._time.now)
        if unread >= MIN_SAMPLE_TOKENS:
            queue = 1 + report.queued / report.slots
            per_token_s = seconds / queue / (unread + ahead)
            knowledge.speeds.observe_work(name, 'read', per_token_s, 1, self._time.now)

    def _on_finished(self, name: str, job: Job) -> None:
        if job.answer_tokens > MIN_PAUSES:
            pause_s = (self._time.now - (job.first_token_at or 0)) / job.answer_tokens
            self.knowledge.speeds.observe_work(name, 'pause', pause_s, 1, self._time.now)


class Documents:
    """Poisson arrivals of questions about documents, each after one of few system parts."""

    def __init__(
        self,
        rate: float,
        documents: int,
        block_tokens: int,
        time: VirtualTime,
        rng: random.Random,
        entries: list[DocumentEntry],
    ) -> None:
        """Schedules the first arrival.

        :param rate: requests per second of all entries together.
        :param documents: how many there are; each has one system part.
        :param block_tokens: of the engines.
        :param time: event queue.
        :param rng: source of all draws.
        :param entries: a request arrives at one of them.
        """
        self.jobs: list[Job] = []
        self._rate = rate
        self._documents = documents
        self._block_tokens = block_tokens
        self._time = time
        self._rng = rng
        self._entries = entries
        self._arrive_later()

    def _arrive_later(self) -> None:
        self._time.after(self._rng.expovariate(self._rate), self._arrive)

    def _arrive(self) -> None:
        rng = self._rng
        # The first documents are asked for most often.
        document = int(self._documents * rng.random() ** 2)
        blocks = [f's{document % SYSTEMS}.{block}' for block in range(SYSTEM_BLOCKS)]
        blocks += [f'd{document}.{block}' for block in range(DOCUMENT_BLOCKS)]
        blocks += [f'q{len(self.jobs)}.{block}' for block in range(QUESTION_BLOCKS)]
        job = Job(
            job_id=f'r{len(self.jobs)}',
            organisation='org',
            traffic_class='chat',
            prefixes=tuple(blocks),
            part_blocks=(SYSTEM_BLOCKS, DOCUMENT_BLOCKS, QUESTION_BLOCKS),
            prompt_tokens=len(blocks) * self._block_tokens,
            answer_tokens=max(1, round(rng.expovariate(1 / EXPECTED_ANSWER_TOKENS))),
            arrived_at=self._time.now,
        )
        self.jobs.append(job)
        rng.choice(self._entries).submit(job)
        self._arrive_later()


# Blocks of 630 tokens: 2,520 of a system part, 3,780 of a document, 630 of a question.
SYSTEMS = 4
SYSTEM_BLOCKS = 4
DOCUMENT_BLOCKS = 6
QUESTION_BLOCKS = 1
