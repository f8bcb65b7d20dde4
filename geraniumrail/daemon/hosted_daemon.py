"""Runs the roles of a process on somebody else's platform until the signal to stop."""

import asyncio
import random
import signal
from typing import Any

from geraniumrail.callers.client_limits import ClientLimits
from geraniumrail.core.clock import SystemClock
from geraniumrail.core.events import log
from geraniumrail.daemon import events
from geraniumrail.daemon.coalesced import Coalesced
from geraniumrail.daemon.hosted_adapter import Front, HostedAdapter
from geraniumrail.daemon.hosted_config import (
    HostedConfig,
    answer_budget_bytes,
    body_budget_bytes,
    entry_capacity,
    sized_daemon,
)
from geraniumrail.daemon.stop_steps import StopSteps
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.links.datagrams import Datagrams
from geraniumrail.links.pool import LinkPool
from geraniumrail.links.server import LinkServer
from geraniumrail.tasks.supervise import supervise

WATCH_INTERVAL_S = 2.0
# A signal each millisecond made 25,230 reloads in 40 s, and the event loop did little else.
RELOAD_INTERVAL_S = 0.1
# Loading the exporter takes long, so the roles serve before it.
METRICS_DELAY_S = 3.0
# Backend servers are a few milliseconds away; one that does not answer for so long is cut off or
# lost.
CONNECT_TIMEOUT_S = 0.5
USER_TIMEOUT_MS = 1500
# Callers keep an answer of the directory for at most this multiple of its time.
KEPT_TIMES = 3
EXIT_MARGIN_S = 0.8
# For the final answers of requests that are still in progress.
ANSWER_MARGIN_S = 0.3
STEP_S = 0.1
# Members that restart together elect a leader within this time; otherwise it is not waited for.
ELECTION_WAIT_S = 0.6
# The entries get their lease within this time after an election.
FIRST_UPDATES_S = 0.3


class HostedDaemon:
    """One process; imports the code of a role only if the role is configured."""

    def __init__(self, config: HostedConfig, adapter: HostedAdapter, started_at: float) -> None:
        """Builds the roles; an event loop must be running.

        :param config: settings of the process.
        :param adapter: of the platform.
        :param started_at: when the process began, seconds of its clock.
        """
        self._config = config
        self._adapter = adapter
        self._settings_stamp = adapter.stamp()
        self._reload = Coalesced(self._take_settings, RELOAD_INTERVAL_S)
        self._started_at = started_at
        self._clock = SystemClock()
        self._links = LinkPool()
        self._link_server = LinkServer(config.daemon.peers.listen)
        self._datagrams = Datagrams(config.daemon.peers.listen)
        self._clients = ClientLimits.from_machine(config.memory_mb, config.max_descriptors)
        self._fronts: list[Front] = []
        self._target: Any = None
        self._metrics: Any = None
        self._gauges: asyncio.Task[None] | None = None
        self._control = None if config.daemon.operators is None else self._build_control()
        self._entry = None if config.daemon.callers is None else self._build_entry()

    async def run(self) -> None:
        """Serves until SIGTERM, then stops without cutting off a request."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload.request)
        await self._start()
        watcher = asyncio.create_task(supervise('watch', self._watch))
        await stop.wait()
        watcher.cancel()
        log(events.STOPPING, instance=self._config.daemon.instance)
        await self._stop()
        log(events.STOPPED, instance=self._config.daemon.instance)
        # A loop that is closed gives the signal its default action, which ends the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
        loop.remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))

    async def _start(self) -> None:
        await self._link_server.start()
        await self._datagrams.start()
        for role in (self._control, self._entry):
            if role is not None:
                await role.start()
        if self._control is not None:
            await self._control.leadership.await_election(self._clock, ELECTION_WAIT_S)
            await asyncio.sleep(FIRST_UPDATES_S)
            self._add_control_front()
        for front in self._fronts:
            await front.start()
        self._gauges = asyncio.create_task(supervise('metrics', self._show_metrics))
        log(
            events.STARTED,
            instance=self._config.daemon.instance,
            roles=sorted(self._config.daemon.roles),
            data_centre=self._config.daemon.data_centre,
        )

    async def _show_metrics(self) -> None:
        await asyncio.sleep(METRICS_DELAY_S)
        from geraniumrail.daemon.gauges import Gauges
        from geraniumrail.metrics.metrics import Metrics

        self._metrics = Metrics.from_config(self._config.daemon, self._clients)
        await self._metrics.start()
        if self._entry is not None:
            self._entry.forwarder.parts.recorder.instruments = self._metrics.instruments
        instruments = self._metrics.instruments
        await Gauges(instruments, self._entry, self._control, self._clients).run()

    async def _stop(self) -> None:
        steps = StopSteps(self._clock, self._clock.now() + self._config.grace_s)
        if self._control is not None:
            await steps.run('transfer', self._control.transfer_leadership())
        if self._entry is not None:
            await steps.run('drain', self._drain())
        for front in self._fronts:
            await steps.run('front', front.stop())
        if self._entry is not None:
            await steps.run('entry', self._entry.stop())
        if self._control is not None:
            await steps.run('control', self._control.stop())
        if self._target is not None:
            await steps.run('target', self._target.close())
        if self._gauges is not None:
            self._gauges.cancel()
        if self._metrics is not None:
            await steps.run('metrics', self._metrics.stop())
        await steps.run('link-server', self._link_server.stop())
        self._datagrams.stop()
        await steps.run('links', self._links.close())

    async def _drain(self) -> None:
        """Serves until nobody has this address any more and nothing is in progress."""
        began = self._clock.now()
        last = self._config.grace_s - EXIT_MARGIN_S
        answered_s = max(0, last - ANSWER_MARGIN_S)
        self._entry.leave(began + answered_s)
        kept_s = min(last, KEPT_TIMES * self._config.keep_for_s)
        while (spent_s := self._clock.now() - began) < last:
            if spent_s >= kept_s and not self._entry.in_progress:
                return
            if spent_s >= answered_s:
                # Again for a request that was between two attempts.
                self._entry.forwarder.expire()
            await asyncio.sleep(STEP_S)

    def _build_control(self) -> Any:
        from geraniumrail.control.backend_notes import BackendNotes
        from geraniumrail.control.central_limits import CentralLimits
        from geraniumrail.control.cold_board import ColdTolerance
        from geraniumrail.control.control import Control
        from geraniumrail.fairness.central_buckets import CentralBuckets
        from geraniumrail.fairness.quota import QUOTA_HEADROOM

        control = Control.from_config(
            sized_daemon(self._config),
            self._links,
            self._clock,
            random.Random(),
            self._config.usage_window_s,
            self._started_at,
        )
        control.publisher.cold_board.tolerance = ColdTolerance(
            self._config.cold_overage, self._config.cold_slack
        )
        control.register(self._link_server)
        control.jobs.append(BackendNotes(control))
        central_limits = CentralLimits(
            control, CentralBuckets(QUOTA_HEADROOM, self._config.quota_slack)
        )
        central_limits.register(self._datagrams)
        control.jobs.append(central_limits)
        return control

    def _add_control_front(self) -> None:
        """Adds what speaks HTTP: loading it takes longer than an election among the members."""
        from geraniumrail.control.access import ControlAccess
        from geraniumrail.control.duties import Duties
        from geraniumrail.control.fleet_planner import FleetPlanner

        config, control = self._config, self._control
        access = ControlAccess(control, self._links, random.Random())
        access.register(self._link_server)
        self._target = self._adapter.duty_target()
        if self._target is not None:
            duties = Duties(
                control,
                self._target,
                config.daemon.instance,
                config.usage_window_s,
                config.duty_lease_s,
                FleetPlanner(control) if config.orders_backends else None,
                config.usage_late_s,
            )
            control.jobs.append(duties)
        self._fronts.append(self._adapter.control_front(control, access, self._clients))

    def _build_entry(self) -> Any:
        from geraniumrail.backends.connections import ConnectionsConfig
        from geraniumrail.entry.entry import Entry
        from geraniumrail.forwarding.config import ForwardingConfig

        entry = Entry.from_config(
            self._config.daemon,
            self._links,
            self._clock,
            random.Random(),
            self._adapter.dialect(),
            ForwardingConfig(
                quota_slack=self._config.quota_slack,
                retry_share=self._config.retry_share,
                retry_limit=self._config.retry_limit,
                body_budget_bytes=body_budget_bytes(self._config.memory_mb),
                connections=ConnectionsConfig(
                    connect_timeout_s=CONNECT_TIMEOUT_S,
                    user_timeout_ms=USER_TIMEOUT_MS,
                    answer_budget_bytes=answer_budget_bytes(self._config.memory_mb),
                ),
            ),
            self._datagrams,
            entry_capacity(self._config),
        )
        entry.register(self._link_server)
        self._fronts.append(self._adapter.caller_front(entry, self._clients))
        return entry

    def _take_settings(self) -> None:
        """Takes over other seeds; addresses do not change while a process runs."""
        try:
            changed = self._adapter.reread()
        except GeraniumrailError as error:
            log(events.RELOAD_REFUSED, reason=str(error))
            return
        seeds = changed.daemon.control.seeds
        for role in (self._control, self._entry):
            if role is not None:
                role.learn_seeds(seeds)
        log(events.RELOADED, seeds=seeds)

    async def _watch(self) -> None:
        """Notices a changed file without a signal, also one that changed during the start."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            found = self._adapter.stamp()
            if found != self._settings_stamp:
                self._settings_stamp = found
                self._reload.request()
