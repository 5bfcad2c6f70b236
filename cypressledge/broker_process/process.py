"""The broker process: reads its configuration, starts the parts, handles signals, and shuts down.

The environment variable ROUTER_CONFIG names the configuration file. `--service FILE` adds the frontend of the
hosted service, `--fleet FILE` the coordination with other brokers (membership, leases, zone failover), and
`--control FILE` the control plane, which provides settings and engine lists.
"""

import argparse
import gc
import os
import signal
import sys
from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from cypressledge.broker.metrics import log
from cypressledge.broker.periodic_tasks import WallClockWatch, log_counters, run_maintenance
from cypressledge.broker_process.assembly import assemble_components
from cypressledge.broker_process.reconfiguration import ConfigReader, ConfigurationFiles, Reconfiguration
from cypressledge.clock import monotonic_us
from cypressledge.config import Config, ConfigError, read_config

if TYPE_CHECKING:
    from cypressledge.controlplane.broker_integration import BrokerIntegration
    from cypressledge.fleet.broker_integration import FleetIntegration
    from cypressledge.service_config import ServiceConfig

ACCEPT_AFTER_STOP_S = 0.72  # seconds of accepting requests after SIGTERM; later ones might be open at SIGKILL
FLUSH_S = 0.5  # seconds; longest time for sending the last answers
MAX_COUNTED_DEADLINE_US = 3_000_000  # µs; upper limit of the longest class deadline in the shutdown timeout
KILL_MARGIN_US = 700_000  # µs after that deadline at which SIGKILL may be sent
EXIT_MARGIN_S = 0.1  # seconds before SIGKILL by which the process has ended
GIVE_UP_MARGIN_US = 400_000  # µs before SIGKILL at which open requests are given up and answered
SHUTDOWN_POLL_S = 0.02  # seconds between checks whether all requests have been answered
US_PER_SECOND = 1e6
EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2
EXIT_PART_FAILED = 3


class BrokerProcess:
    """One broker from the start of its process to its exit."""

    def __init__(
        self, read: ConfigReader, fleet_file: str | None = None, control_file: str | None = None
    ) -> None:
        files = read({})
        config = files.broker
        self.parts = assemble_components(config, files.service)
        self.core, self.counters = self.parts.core, self.parts.counters
        self.management = self.parts.management
        self.configuration = Reconfiguration(read, config, self.parts)
        self._greenlets = self._main_loops(config)
        self.fleet = self._join_fleet(fleet_file) if fleet_file else None
        self.control = self._follow_control_plane(control_file) if control_file else None
        self.configuration.apply_limits(config)
        self._clock_watch = WallClockWatch(self.core)
        self._stopping = Event()

    @property
    def config(self) -> Config:
        """The configuration in force."""
        return self.configuration.config

    def _main_loops(self, config: Config) -> list[Callable[[], None]]:
        """Return the functions that run until the process exits, each on its own greenlet."""
        parts = self.parts
        loops = [parts.core.loop.run, parts.frontend.listener.run, self._maintain]
        if config.metrics_interval_s:
            loops.append(partial(log_counters, self.counters, lambda: self.config.metrics_interval_s))
        if parts.management is not None:
            loops.append(parts.management.server.listener.run)
        loops.append(parts.directory.run)
        if parts.service is not None:
            loops += parts.service.main_loops()
        return loops

    def _join_fleet(self, file: str) -> "FleetIntegration":
        """Join the fleet of brokers. Imported only here, so that a single broker does not load it."""
        from cypressledge.fleet.broker_integration import FleetIntegration

        fleet = FleetIntegration(file, self.config, self.core, self.counters)
        self._greenlets += fleet.loops
        if self.management is not None:
            fleet.add_operator_calls(self.management)
        return fleet

    def _follow_control_plane(self, file: str) -> "BrokerIntegration":
        """Subscribe to the control plane. Imported only here, so that other brokers do not load it."""
        from cypressledge.controlplane.broker_integration import follow_control_plane

        control = follow_control_plane(file, self)
        self._greenlets += control.loops
        return control

    def reload(self) -> None:
        """Read the configuration file again and apply it; called on SIGHUP."""
        if self.configuration.reload():
            if self.fleet is not None:
                self.fleet.reload()
            log("reload: the new configuration is in force")

    def run(self, early_signals: list[int]) -> None:
        """Serve until a signal stops the process, then answer all accepted requests.

        `early_signals`: signals received before the handlers were installed, which are handled first."""
        host, port = self.config.listen
        ready = len(self.core.engines.ready_endpoints)
        log(f"{self.config.name}: listening on {host}:{port}, {ready} engines ready")
        for greenlet in map(gevent.spawn, self._greenlets):
            greenlet.link_exception(self._exit_on_failure)
        self._install_signal_handlers(early_signals)
        self._stopping.wait()
        self._shutdown()
        self.counters.print("exit")

    def _install_signal_handlers(self, early_signals: list[int]) -> None:
        handlers: dict[int, Callable[[], None]] = {
            signal.SIGTERM: self._stopping.set,
            signal.SIGINT: self._stopping.set,
            signal.SIGHUP: self.reload,
            signal.SIGUSR1: lambda: self.counters.print("asked"),
        }
        for number, handler in handlers.items():
            gevent.signal_handler(number, handler)
        for number in early_signals:
            handlers[number]()

    # Shutdown

    def _shutdown(self) -> None:
        """Serve for a short time while reporting unhealthy, then answer the open requests, and flush."""
        log("stopping: no longer healthy, still serving")
        self.core.ledger.start_shutdown(monotonic_us() + self._shutdown_timeout_us())
        if self.fleet is not None:
            self.fleet.stop()
        if self.control is not None:
            self.control.stop()
        frontend = self.parts.frontend
        if frontend.listener.inherited:  # the next process accepts the queued and all new connections
            frontend.stop()
            frontend.drain()
        gevent.sleep(ACCEPT_AFTER_STOP_S)
        for each in self.parts.frontends():
            each.stop()
        self.core.ledger.is_accepting = False
        frontend.drain()
        while any(not request.is_concluded for request in self.core.ledger.requests.values()):
            gevent.sleep(SHUTDOWN_POLL_S)
        flush_s = self._flush_timeout_s()
        for each in self.parts.frontends():
            each.flush(flush_s)

    def _shutdown_timeout_us(self) -> int:
        """Return the time in µs after which a stopping broker gives up its open requests.

        The deployment sends SIGKILL no earlier than 0.7 s plus the longest deadline after SIGTERM; of that
        deadline, at most 3 s count."""
        longest = max(k.deadline for k in self.core.settings.classes)
        return min(longest, MAX_COUNTED_DEADLINE_US) + KILL_MARGIN_US - GIVE_UP_MARGIN_US

    def _flush_timeout_s(self) -> float:
        """Return the time in seconds for sending the last answers; the process must exit before SIGKILL."""
        kill_at = self.core.ledger.shutdown_deadline + GIVE_UP_MARGIN_US
        left = (kill_at - monotonic_us()) / US_PER_SECOND - EXIT_MARGIN_S
        return max(min(FLUSH_S, left), 0.0)

    # Periodic tasks

    def _maintain(self) -> None:
        parts = self.parts
        tasks = [parts.transport.maintain]
        if parts.service is not None:
            tasks.append(parts.service.transport.maintain)
        tasks.append(self._clock_watch.check)
        if parts.maintenance_file is not None:
            tasks.append(parts.maintenance_file.refresh)
        run_maintenance(tasks, self.counters)

    def _exit_on_failure(self, greenlet: gevent.Greenlet) -> None:
        """Exit after an exception in one of the main loops, so that the platform restarts the broker."""
        log(f"a part of the broker failed: {greenlet.exception!r}")
        os._exit(EXIT_PART_FAILED)


def _read_service(file: str, environment: Mapping[str, str]) -> "ServiceConfig":
    """Return the settings of the hosted service. Imported only here, so that other brokers do not load it."""
    from cypressledge.service_config import read_service

    return read_service(file, environment)


def assemble(args: list[str], environment: Mapping[str, str]) -> BrokerProcess:
    """Return the broker that the arguments and the environment describe. Raises `ConfigError`."""
    parser = argparse.ArgumentParser(prog="cypressledge", description="a query broker")
    parser.add_argument("--service", metavar="FILE", help="settings of the hosted service")
    parser.add_argument("--fleet", metavar="FILE", help="settings of the broker fleet (deploy/fleet.yaml)")
    parser.add_argument("--control", metavar="FILE", help="the control plane to follow (deploy/control.yaml)")
    arguments = parser.parse_args(args)

    def read(sections: Mapping[str, object]) -> ConfigurationFiles:
        """Read both files, the broker's first, so that its errors are reported before the service's."""
        try:
            config = read_config(environment, sections)
            service = _read_service(arguments.service, environment) if arguments.service else None
        except ConfigError:
            raise
        except Exception as err:  # whatever a file contains, it must not end a broker that serves
            raise ConfigError(f"a file cannot be used: {type(err).__name__}: {err}") from err
        return ConfigurationFiles(config, service)

    try:
        return BrokerProcess(read, arguments.fleet, arguments.control)
    except OSError as err:
        raise ConfigError(f"cannot listen: {err}") from None


def main(early_signals: list[int]) -> int:
    """Run one broker, and return the exit status; an invalid configuration is reported in one log line.

    `early_signals`: signals received before this call."""
    if signal.SIGTERM in early_signals or signal.SIGINT in early_signals:
        return EXIT_OK  # no client has connected yet
    try:
        broker = assemble(sys.argv[1:], os.environ)
    except ConfigError as err:
        log(f"cypressledge: {err}")
        return EXIT_BAD_CONFIGURATION
    gc.collect()
    gc.freeze()  # excludes the objects of the start from collections, as they are never garbage
    broker.run(early_signals)
    return EXIT_OK
