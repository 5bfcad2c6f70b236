"""One real broker: reads its configuration, puts the parts together, and heeds signals.

ROUTER_CONFIG names the configuration. `--service FILE` adds the hosted service's front, `--fleet FILE` what
brokers do together, `--control FILE` the control plane that it takes settings and engines from.
"""

import argparse
import gc
import os
import signal
import sys
import traceback
from collections.abc import Callable
from dataclasses import replace

import gevent
from gevent.event import Event

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.event_log import EventKind
from cypressledge.broker.metrics import Counters, log
from cypressledge.broker.requests import MAX_SEND_DELAY
from cypressledge.clock import ClockStepDetector, monotonic_us
from cypressledge.config import Config, ConfigError, read_config
from cypressledge.decisions.contract import EngineListKind, Settings
from cypressledge.net.buffer import GROWN
from cypressledge.net.dns_discovery import DirectoryPoller, DiscoveredEngine, EngineNaming
from cypressledge.net.jsonrpc.frontend import JsonRpcFrontend
from cypressledge.net.line_protocol.transport import LineProtocolTransport
from cypressledge.net.management import CALLERS_LEAST, CALLERS_MOST, Kept, Management, figures
from cypressledge.net.receive_buffer import BUFFER_GROWTH
from cypressledge.net.socket_writer import QUEUED_BYTES
from cypressledge.net.stream import QUEUED
from cypressledge.service import Service, ServiceConfig, read_service
from cypressledge.tenants import Tenants

ACCEPT_AFTER_STOP_S = (
    0.72  # seconds that a stopping broker goes on taking requests; what came later might meet SIGKILL
)
FLUSH_S = 0.5  # seconds for the last answers to leave
DEADLINE_MOST, KILL_AFTER = 3_000_000, 700_000  # µs
EXIT_MARGIN_S = 0.1  # seconds before SIGKILL at which the process has ended
GIVE_UP_MARGIN_US = 400_000  # µs before SIGKILL from which whatever is open is given up, and answered so
MAINTENANCE_INTERVAL_S = 0.5  # seconds between looks at the engines' connections
MAX_OPEN_REQUESTS = 4_000  # requests open at once, where memory allows as many
BYTES_PER_OPEN_REQUEST = 10_000  # of memory for each, its statement aside


def _settings(config: Config, service: ServiceConfig | None) -> Settings:
    """The module's settings. Guards against ClickHouse engines being taken for ones that lose answers: they
    tell nothing of a query whose rows are on their way, or of which they don't know the share done."""
    notes = config.settings.progress_interval if service is None else 0
    return replace(config.settings, progress_interval=notes, max_send_delay=MAX_SEND_DELAY)


class Broker:
    """All parts of one broker."""

    def __init__(
        self,
        read: Callable[[dict], tuple[Config, ServiceConfig | None]],
        fleet: str | None = None,
        control: str | None = None,
    ) -> None:
        self.read = read
        self.sections: dict = {}  # of the settings, in place of the file's
        self.engines_told = False  # the list is not the file's nor the directory's
        config, service = read(self.sections)
        self.config = config
        self.counters = Counters()
        self.hello = f"{config.name}: listening on {config.listen[0]}:{config.listen[1]}"
        self.core = BrokerCore(_settings(config, service), config.seed, self.counters)
        self.lines = LineProtocolTransport(self.core, config.limits)
        self.core.add_transport("lines", self.lines)
        self.tenants = Tenants()
        self.front = JsonRpcFrontend(
            self.core, config.listen, config.classes, self.tenants, self.counters, config.inherited_socket_fd
        )
        self.fronts, self.links = [self.front], [self.lines]
        self.parts = [self.core.loop.run, self.front.listener.run, self._tend]
        if config.metrics_interval_s:
            self.parts.append(self._figures)
        self.management = None
        if config.management is not None:
            self.management = Management(config.management, self.counters, self._taking)
            self.parts.append(self.management.server.listener.run)
            self.kept = Kept(self.core, config.name)
            self.management.add(
                "/status/metrics", "GET", lambda r: (200, figures(self.core, self.config.classes))
            )
            self.management.add("/maintenance/enter", "POST", lambda r: self.kept.call(r, True))
            self.management.add("/maintenance/exit", "POST", lambda r: self.kept.call(r, False))
        self.engine_naming = EngineNaming(config.kinds, config.zones, "lines")
        self.engine_naming.publish(self.core, EngineListKind.CACHED, config.engines)
        self.directory = DirectoryPoller(self.core, config.dns_server, self.engine_naming, config.serial)
        self.parts.append(self.directory.run)
        self.service = None
        if service is not None:
            self.service = Service(service, self.core, config, self.tenants)
            self.fronts.append(self.service)
            self.links.append(self.service.link)
            self.parts += self.service.parts
        self.fleet = self._join(fleet) if fleet else None
        self.control = self._follow(control) if control else None
        self._limit(config)
        self.clock_watch = ClockStepDetector()
        self.stopping = Event()

    def _join(self, file: str):
        """What brokers do together. Imported here alone: without it a broker is as it was."""
        from cypressledge.fleet.part import FleetPart

        config = self.config
        part = FleetPart(file, config, self.core, self.counters)
        self.parts += part.parts
        if self.management is not None:
            part.calls(self.management)
        return part

    def _follow(self, file: str):
        """The control plane. Imported here alone: without it a broker is as it was."""
        from cypressledge.controlplane.broker_integration import follow

        part = follow(file, self)
        self.parts += part.parts
        return part

    def _limit(self, config: Config) -> None:
        """Take what the configuration allows; at the start and at each reload."""
        limits, shared = config.limits, self.service is not None
        self.core.ledger.max_retry_after = limits.max_retry_after
        self.core.ledger.max_open_requests = min(
            MAX_OPEN_REQUESTS, limits.spare_memory // BYTES_PER_OPEN_REQUEST
        )
        self.core.ledger.max_statement_bytes = limits.spare_memory // 8
        GROWN.most = QUEUED.most = limits.spare_memory // 4
        BUFFER_GROWTH.limit = QUEUED_BYTES.limit = limits.spare_memory // 4
        self.lines.limits, self.lines.max_connections = limits, limits.max_engine_connections(shared)
        self.tenants.site_tenants = config.tenants
        self.front.listener.max_connections = limits.max_clients(shared)
        self.front.listener.max_closing = limits.max_sockets // 32
        if self.service is not None:
            self.service.limit(limits)
        if self.management is not None:
            self.management.server.listener.most = min(
                CALLERS_MOST, max(limits.max_sockets // 32, CALLERS_LEAST)
            )

    def reload(self) -> None:
        """Take the configuration as its file is now. Guards against a bad file, or one that names what only
        a restart can change: the old configuration stays in force, whole. The listener, the ledger,
        connections and the directory's serial live on."""
        try:
            self._reload(self.sections)
        except ConfigError as err:
            log(f"reload: the old configuration stays in force: {err}")
            return
        if self.fleet is not None:
            self.fleet.reload()
        log("reload: the new configuration is in force")

    def _reload(self, sections: dict) -> None:
        """Raises `ConfigError` where the old configuration stays in force."""
        try:
            config, service = self.read(sections)
            self._check(config, service)
        except ConfigError:
            self.counters.add("reload_failures")
            raise
        self.config, self.sections = config, sections
        self._limit(config)
        self.core.reconfigure(_settings(config, service))
        self.engine_naming.rename(self.core, config.kinds, config.zones)
        if not self.engines_told:
            self.directory.update(config.serial, config.engines)
            self.directory.set_server(config.dns_server)
        if self.service is not None:
            self.service.reload(service, config)
        self.counters.add("reloads")

    def take_sections(self, sections: dict) -> None:
        """Sections of the settings, by name, in place of the file's, from now on. Raises `ConfigError` where
        what is in force stays."""
        self._reload(sections)
        log(f"control: new settings are in force: {' '.join(sorted(sections))}")

    def take_engines(self, engines: list[DiscoveredEngine]) -> None:
        """The whole list, from now on in place of the file's and the directory's, which is asked no more."""
        if not self.engines_told:
            self.engines_told = True
            self.directory.set_server(None)
        self.engine_naming.publish(self.core, EngineListKind.FULL, engines)

    def _check(self, config: Config, service: ServiceConfig | None) -> None:
        """Whether this can be taken without a restart."""
        if config.classes != self.config.classes:
            raise ConfigError("other classes need a restart")
        if (config.listen, config.management) != (self.config.listen, self.config.management):
            raise ConfigError("another address to listen on needs a restart")
        if self.service is not None:
            self.service.check(service)

    def run(self, early: list[int]) -> None:
        """Serve until told to stop; then answer all that was taken. `early`: signals that came before."""
        log(f"{self.hello}, {len(self.core.engines.ready_endpoints)} engines ready")
        for part in map(gevent.spawn, self.parts):
            part.link_exception(self._broken)
        heeded = {
            signal.SIGTERM: self.stopping.set,
            signal.SIGINT: self.stopping.set,
            signal.SIGHUP: self.reload,
            signal.SIGUSR1: lambda: self.counters.print("asked"),
        }
        for number, act in heeded.items():
            gevent.signal_handler(number, act)
        for number in early:
            heeded[signal.Signals(number)]()
        self.stopping.wait()
        log("stopping: no longer healthy, still serving")
        self.core.ledger.start_shutdown(monotonic_us() + self._grace())
        if self.fleet is not None:
            self.fleet.stop()
        if self.control is not None:
            self.control.stop()
        if self.front.listener.inherited:  # the socket's queue and the clients are the next process's
            self.front.stop()
            self.front.drain()
        gevent.sleep(ACCEPT_AFTER_STOP_S)
        for front in self.fronts:
            front.stop()
        self.core.ledger.is_accepting = False
        self.front.drain()
        while any(not r.is_concluded for r in self.core.ledger.requests.values()):
            gevent.sleep(0.02)
        until = min(
            FLUSH_S,
            (self.core.ledger.shutdown_deadline + GIVE_UP_MARGIN_US - monotonic_us()) / 1e6 - EXIT_MARGIN_S,
        )
        for front in self.fronts:
            front.flush(max(until, 0.0))
        self.counters.print("exit")

    def _grace(self) -> int:
        """µs that a stopping broker has for its answers. By the deployment's rule SIGKILL comes no earlier
        than the longest deadline, of which 3 s count, and 0.7 s after SIGTERM."""
        longest = max(k.deadline for k in self.core.settings.classes)
        return min(longest, DEADLINE_MOST) + KILL_AFTER - GIVE_UP_MARGIN_US

    def _taking(self) -> bool:
        """Whether this process takes clients."""
        return self.front.listener.accepting.is_set() and not self.core.ledger.is_stopping

    def _tend(self) -> None:
        tasks = [link.maintain for link in self.links] + [self._look_at_clock]
        if self.management is not None:
            tasks.append(self.kept.look)
        while True:
            gevent.sleep(MAINTENANCE_INTERVAL_S)
            for task in tasks:
                try:
                    task()
                except Exception:  # one odd connection must not end the process: the next look may do
                    log("tending failed:\n" + traceback.format_exc())
                    self.counters.invariant(False, "tending")

    def _look_at_clock(self) -> None:
        """Log each step of the wall clock: nothing here depends on it, other programs' time stamps do."""
        if stepped := self.clock_watch.check():
            self.counters.add("clock.steps")
            self.core.event_log.write(EventKind.CLOCK_STEPPED, by_ms=stepped // 1000)

    def _figures(self) -> None:
        """The counters on one log line every so often, for counting over a fleet from its logs."""
        while True:
            gevent.sleep(self.config.metrics_interval_s)
            self.counters.print(f"every {self.config.metrics_interval_s:g}s")

    def _broken(self, part) -> None:
        # A part that ended by an exception can't be done without: end, so that the platform starts anew.
        log(f"a part of the broker failed: {part.exception!r}")
        os._exit(3)


def assemble(args: list[str], env) -> Broker:
    """The broker that arguments and environment describe."""
    parser = argparse.ArgumentParser(prog="cypressledge", description="a query broker")
    parser.add_argument("--service", metavar="FILE", help="settings of the hosted service's front")
    parser.add_argument("--fleet", metavar="FILE", help="what brokers do together (deploy/fleet.yaml)")
    parser.add_argument("--control", metavar="FILE", help="the control plane to follow (deploy/control.yaml)")
    told = parser.parse_args(args)
    file = told.service

    def read(sections: dict) -> tuple[Config, ServiceConfig | None]:
        return read_config(env, sections), read_service(file, env) if file else None

    try:
        return Broker(read, told.fleet, told.control)
    except OSError as err:
        raise ConfigError(f"cannot listen: {err}") from None


def main(early: list[int]) -> int:
    """Run one broker; a bad configuration is one plain line."""
    if signal.SIGTERM in early or signal.SIGINT in early:
        return 0  # nobody has met this process yet
    try:
        broker = assemble(sys.argv[1:], os.environ)
    except ConfigError as err:
        log(f"cypressledge: {err}")
        return 2
    gc.collect()
    gc.freeze()
    broker.run(early)
    return 0
