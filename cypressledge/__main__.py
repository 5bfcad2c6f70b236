"""One real broker: reads its configuration, puts the parts together, and heeds signals.

Run with `python -m cypressledge`; ROUTER_CONFIG names the configuration. `--service FILE` adds the
hosted service's front.
"""

import argparse
import gc
import json
import os
import signal
import sys
from dataclasses import dataclass

import gevent
from gevent.event import Event

from cypressledge.contract import ListKind
from cypressledge.core import Core
from cypressledge.counters import Counters, log
from cypressledge.net.directory import Catalogue, Directory, known
from cypressledge.net.jsonrpc import Front
from cypressledge.net.lines import LinesLink
from cypressledge.service import Service, ServiceConfig, ServiceError, address, read_service
from cypressledge.settings import SettingsError, settings_of
from cypressledge.tenants import Tenants

LINGER = 0.72  # seconds that a stopping broker goes on taking requests; what came later might meet SIGKILL
LAST_WORDS = 0.5  # seconds for the last answers to leave


class ConfigError(Exception):
    """The configuration can't be used."""


@dataclass(frozen=True, slots=True)
class Config:
    """What a broker is told at its start."""

    name: str
    listen: tuple[str, int]
    dns: tuple[str, int] | None
    seed: int
    sockets: int
    known: dict
    settings: dict


def read_config(env) -> Config:
    """The configuration named by the environment."""
    path = env.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
        seed = raw["seed"]
        return Config(
            name=env.get("ROUTER_NAME") or raw["name"],
            listen=address(env.get("ROUTER_LISTEN") or raw["listen"]),
            dns=address(raw["dns"]) if raw.get("dns") else None,
            seed=int(seed, 16) if isinstance(seed, str) else int(seed),
            sockets=int(raw["limits"]["sockets"]), known=raw["known"], settings=raw["settings"])
    except OSError as err:
        raise ConfigError(f"{path}: {err.strerror}") from None
    except KeyError as err:
        raise ConfigError(f"{path} lacks {err}") from None
    except (TypeError, ValueError, AttributeError) as err:
        raise ConfigError(f"{path}: {err}") from None


class Broker:
    """All parts of one broker."""

    def __init__(self, config: Config, service: ServiceConfig | None) -> None:
        s, limits = config.settings, config.settings["Limits"]
        settings = settings_of(s)
        self.counters = Counters()
        self.hello = f"{config.name}: listening on {config.listen[0]}:{config.listen[1]}"
        self.core = Core(settings, config.seed, self.counters, int(limits.get("MaxRetryAfter", 0)))
        lines = LinesLink(
            self.core, limits["StreamsPerConn"], limits["ConnectTimeout"] / 1e6, limits["ConnIdle"] / 1e6,
            most=config.sockets // 4, notes_us=int(s.get("FamilyInfo", {}).get("TellsEvery", 0)))
        self.core.links["lines"] = lines
        tenants = Tenants([t["Name"] for t in s.get("Customers", ())])
        self.front = Front(self.core, config.listen, [k["Name"] for k in s["Classes"]], tenants,
                           self.counters, most=config.sockets * 2 // 5)
        self.fronts, self.links = [self.front], [lines]
        self.parts = [self.core.run, self.front.listener.run, self._tend]
        self._list(config, Catalogue(s["Skus"], s["Dcs"], "lines"))
        if service is not None:
            hosted = Service(service, self.core, s, tenants, config.sockets)
            self.fronts.append(hosted)
            self.links.append(hosted.link)
            self.parts += hosted.parts
        self.stopping = Event()

    def _list(self, config: Config, catalogue: Catalogue) -> None:
        serial, engines = known(config.known)
        catalogue.tell(self.core, ListKind.CACHED, engines)
        if config.dns is not None:
            self.parts.append(Directory(self.core, config.dns, catalogue, serial).run)

    def run(self) -> None:
        """Serve until told to stop; then answer all that was taken."""
        log(f"{self.hello}, {len(self.core.ready)} engines ready")
        for part in map(gevent.spawn, self.parts):
            part.link_exception(self._broken)
        gevent.signal_handler(signal.SIGTERM, self.stopping.set)
        gevent.signal_handler(signal.SIGINT, self.stopping.set)
        gevent.signal_handler(signal.SIGUSR1, self.counters.print, "asked")
        self.stopping.wait()
        log("stopping: no longer healthy, still serving")
        self.core.stopping = True
        gevent.sleep(LINGER)
        for front in self.fronts:
            front.stop()
        self.core.taking = False
        while any(not r.over for r in self.core.requests.values()):
            gevent.sleep(0.02)
        for front in self.fronts:
            front.flush(LAST_WORDS)
        self.counters.print("exit")

    def _tend(self) -> None:
        while True:
            gevent.sleep(1.0)
            for link in self.links:
                link.tend()

    def _broken(self, part) -> None:
        # A part that ended by an exception can't be done without: end, so that the platform starts anew.
        log(f"a part of the broker failed: {part.exception!r}")
        os._exit(3)


def assemble(args: list[str], env) -> Broker:
    """The broker that arguments and environment describe."""
    parser = argparse.ArgumentParser(prog="cypressledge", description="a query broker")
    parser.add_argument("--service", metavar="FILE", help="settings of the hosted service's front")
    file = parser.parse_args(args).service
    try:
        return Broker(read_config(env), read_service(file, env) if file else None)
    except KeyError as err:
        raise ConfigError(f"configuration lacks {err}") from None
    except (TypeError, ValueError, AttributeError) as err:
        raise ConfigError(f"configuration of the wrong form: {err}") from None
    except OSError as err:
        raise ConfigError(f"cannot listen: {err}") from None


def main() -> int:
    """Run one broker; a bad configuration is one plain line."""
    try:
        broker = assemble(sys.argv[1:], os.environ)
    except (ConfigError, ServiceError, SettingsError) as err:
        log(f"cypressledge: {err}")
        return 2
    gc.collect()
    gc.freeze()
    broker.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
