"""One real broker: reads its configuration, puts the parts together, and heeds signals.

Run with `python -m cypressledge`; ROUTER_CONFIG names the configuration.
"""

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
from cypressledge.settings import SettingsError, read_settings

LINGER = 0.8  # seconds that a stopping broker goes on taking requests
LAST_WORDS = 1.0  # seconds for the last answers to leave


class ConfigError(Exception):
    """The configuration can't be used."""


@dataclass(frozen=True, slots=True)
class Config:
    """What a broker is told at its start."""

    name: str
    listen: tuple[str, int]
    dns: tuple[str, int]
    seed: int
    sockets: int
    known: dict
    settings: dict


def address(text: str) -> tuple[str, int]:
    """HOST:PORT as a pair."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"no HOST:PORT: {text!r}")
    return host.strip("[]"), int(port)


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
            dns=address(raw["dns"]), seed=int(seed, 16) if isinstance(seed, str) else int(seed),
            sockets=int(raw["limits"]["sockets"]), known=raw["known"], settings=raw["settings"])
    except OSError as err:
        raise ConfigError(f"{path}: {err.strerror}") from None
    except KeyError as err:
        raise ConfigError(f"{path} lacks {err}") from None
    except (TypeError, ValueError, AttributeError) as err:
        raise ConfigError(f"{path}: {err}") from None


class Broker:
    """All parts of one broker."""

    def __init__(self, config: Config) -> None:
        s = config.settings
        settings = read_settings(json.dumps(s).encode())
        limits = s["Limits"]
        self.counters = Counters()
        self.core = Core(settings, config.seed, self.counters, int(limits.get("MaxRetryAfter", 0)))
        self.link = LinesLink(
            self.core, limits["StreamsPerConn"], limits["ConnectTimeout"] / 1e6, limits["ConnIdle"] / 1e6,
            most=config.sockets // 3)
        self.core.links["lines"] = self.link
        catalogue = Catalogue(s["Skus"], s["Dcs"], "lines")
        serial, engines = known(config.known)
        self.directory = Directory(self.core, config.dns, catalogue, serial)
        catalogue.tell(self.core, ListKind.CACHED, engines)
        self.front = Front(
            self.core, config.listen, [k["Name"] for k in s["Classes"]],
            [t["Name"] for t in s.get("Customers", ())], self.counters, most=config.sockets // 2)
        self.stopping = Event()

    def run(self) -> None:
        """Serve until told to stop; then answer all that was taken."""
        owner = gevent.spawn(self.core.run)
        parts = [owner, *map(gevent.spawn, (self.directory.run, self.front.run, self._tend))]
        for part in parts:
            part.link_exception(self._broken)
        gevent.signal_handler(signal.SIGTERM, self.stopping.set)
        gevent.signal_handler(signal.SIGINT, self.stopping.set)
        gevent.signal_handler(signal.SIGUSR1, self.counters.print, "asked")
        self.stopping.wait()
        log("stopping: no longer healthy, still serving")
        gevent.sleep(LINGER)
        self.front.stop()
        self.core.taking = False
        while any(not r.over for r in self.core.requests.values()):
            gevent.sleep(0.02)
        self.front.flush(LAST_WORDS)
        self.counters.print("exit")

    def _tend(self) -> None:
        while True:
            gevent.sleep(1.0)
            self.link.tend()

    def _broken(self, part) -> None:
        # A part that ended by an exception can't be done without: end, so that the platform starts anew.
        log(f"a part of the broker failed: {part.exception!r}")
        os._exit(3)


def main() -> int:
    """Run one broker; a bad configuration is one plain line."""
    try:
        broker = Broker(read_config(os.environ))
    except (ConfigError, SettingsError) as err:
        log(f"cypressledge: {err}")
        return 2
    except KeyError as err:
        log(f"cypressledge: configuration lacks {err}")
        return 2
    except (TypeError, ValueError, AttributeError) as err:
        log(f"cypressledge: configuration of the wrong form: {err}")
        return 2
    except OSError as err:
        log(f"cypressledge: cannot listen: {err}")
        return 2
    gc.collect()
    gc.freeze()
    broker.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
