"""What each role needs at the target's size, reckoned from measured slopes, against its limits.

One `Need` is one line of the page. A figure of a slope is *measured* where a point stands at that size,
*interpolated* between two points, *extrapolated* by the fit beyond them; what is multiplied or added up is
*reckoned*.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from cypressledge.config import DEFAULT_MEMORY_MB, RESERVED_SOCKETS
from cypressledge.lab.results import Basis, Fact, Results, ResultsError, Slope

# The target, from the operators' letters
BROKERS, ENGINES, ZONES = 460, 490, 4
CLIENTS, RATE = 2_610, 500.0  # connections and statements/s of one broker
CPU, MEMORY, NET = 3.2, 256.0, 30.0  # for control, of one broker: % of a core, MB, KB/s
CONFIG_A_DAY, PRIMARIES_A_DAY, RESTARTS_A_DAY = 450, 2, 220

# The program's own
POLLS = 2.5  # a second: net/dns_discovery.py's interval
ANSWER = 8_000  # bytes of a directory's answer
SIGHTS, SIGHTS_BAD, PLANS, SUMMARY_S = 2.0, 5.0, 1.0, 2.0  # fleet/zones.py; deploy/fleet.yaml
ACT_MS = 20.0  # processor time of an act: task_share 2% of a core for longest_s, 1 s; then it is cut off
ACTS = 10.0  # a second that the planner aims at: a tenth of a second between its acts
SOCKETS = 1_024  # the sites' usual limit of descriptors
NEEDED_SOCKETS = CLIENTS * 5 // 3 + RESERVED_SOCKETS + 1  # clients get three fifths of them
SIGHT_ENGINES = 64  # fleet/evidence.py: engines that a sight names
NETWORK = 125_000.0  # KB/s of a machine's link of 1 Gbit/s, assumed
RACK = 20  # brokers in a rack, assumed
OTHERS = (ZONES - 1) / ZONES  # brokers and engines that stay when a zone is lost

FIRM = ("measured", "interpolated", "extrapolated")  # the firmest first
REQUEST, CONTROL, VOTER, PLANNER = "broker, request path", "broker, control part", "voter", "planner"
PRIMARY, MACHINES, DIRECTORY, ENGINE = (
    "primary of the configuration",
    "other control machines",
    "directory",
    "engine",
)
ROLES = (REQUEST, CONTROL, VOTER, PLANNER, PRIMARY, MACHINES, DIRECTORY, ENGINE)
FAILURES = "after a failure"
SHARE = "missing: a broker's own share of the engines"
HISTORY = "was missing: the fleet's state as numbered changes; now the control plane"
OWN_MACHINE = "missing: the planner away from brokers, or sights summed up on the way"


class Book:
    """Results by name, and the fleet that is reckoned for. Keeps which were asked for, and on what basis."""

    def __init__(self, results: Results, part: float = 1.0) -> None:
        self.brokers, self.engines = BROKERS * part, ENGINES * part
        self.slopes: dict[str, Slope] = {s.name: s for s in results.slopes}
        self.facts: dict[str, Fact] = {f.name: f for f in results.facts}
        self.used: dict[str, Basis] = {}

    def at(self, name: str, x: float) -> float:
        """A slope's y at x. Raises `ResultsError` where there is no such slope."""
        if name not in self.slopes:
            raise ResultsError(f"the results have no slope {name}")
        y, basis = self.slopes[name].at(x)
        self.used[name] = max(basis, self.used.get(name, basis), key=FIRM.index)
        return y

    def fact(self, name: str) -> float:
        """A fact's value. Raises `ResultsError` where there is none."""
        if name not in self.facts:
            raise ResultsError(f"the results have no fact {name}")
        self.used[name] = "measured"
        return self.facts[name].value


@dataclass(frozen=True, slots=True)
class Need:
    """One figure of a role. `plain`: it is a slope's own figure, with nothing multiplied or added; `basis`:
    "source" where it follows from a constant of the program or the target alone."""

    role: str
    kind: str  # state, messages, processor, memory, sockets, network, time
    what: str
    unit: str
    reckon: Callable[[Book], float]
    limit: float | str | None  # a string names the fact that it is
    limit_words: str
    carried: str
    plain: bool = False


@dataclass(slots=True)
class Line:
    """A need with its figures."""

    need: Need
    value: float
    limit: float | None
    sources: dict[str, Basis] = field(default_factory=dict)
    reached: float | None = None  # brokers of a smaller fleet, in proportion, that meets the limit first

    @property
    def ratio(self) -> float | None:
        """Need over limit."""
        return None if self.limit is None else self.value / self.limit

    @property
    def basis(self) -> str:
        """That of its least firm source, reckoned from it or not; given, where no measurement is in it."""
        if not self.sources:
            return "given"
        base = max(self.sources.values(), key=FIRM.index)
        return base if self.need.plain else f"reckoned from {base}"


def lines(results: Results) -> list[Line]:
    """All needs with their figures. Raises `ResultsError` where a slope is not there."""
    found = []
    for need in NEEDS:
        book = Book(results)
        value = need.reckon(book)
        limit = book.fact(need.limit) if isinstance(need.limit, str) else need.limit
        found.append(Line(need, value, limit, book.used, _reached(results, need, value, limit)))
    return found


def _reached(results: Results, need: Need, value: float, limit: float | None) -> float | None:
    """Brokers, with engines in proportion, from which on the limit is passed; None where it is not."""
    if limit is None or value <= limit:
        return None
    low, high = 0.0, 1.0
    for _ in range(20):
        middle = (low + high) / 2
        passed = need.reckon(Book(results, middle)) > limit
        low, high = (low, middle) if passed else (middle, high)
    return high * BROKERS


def _module_core(b: Book) -> float:
    return b.at("module_ms", b.engines) * RATE / 10


def _broker_core(b: Book) -> float:
    rest = b.at("statement_ms", 32) - b.at("module_ms", 36)
    return (max(rest, 0.0) + b.at("module_ms", b.engines)) * RATE / 10


def _broker_mb(b: Book) -> float:
    return b.at("clients_mb", CLIENTS) + b.at("module_kb", b.engines) / 1000


def _sights_in(rate: float) -> Callable[[Book], float]:
    return lambda b: b.at("sight_bytes", SIGHT_ENGINES) * rate * (b.brokers - 1) / 1000


def _planner_core(rate: float, act: str) -> Callable[[Book], float]:
    return lambda b: (b.fact("sight_us") * rate * b.brokers / 1e6 + b.at(act, b.brokers) * ACTS / 1e3) * 100


def _control_out(b: Book) -> float:
    told = b.fact("figures_bytes") / SUMMARY_S + b.at("sight_bytes", SIGHT_ENGINES) * SIGHTS
    return b.at("members_others_kb_most", b.brokers) + told / 1000


def _control_in(b: Book) -> float:
    told = b.fact("plan_bytes") * PLANS + b.at("summary_bytes", b.brokers) / SUMMARY_S
    return b.at("members_others_kb_most", b.brokers) + told / 1000


def _changes_core(b: Book) -> float:
    each = b.at("directory_read_ms", b.engines) + b.at("module_list_ms", b.engines)
    return each * 2 * RESTARTS_A_DAY / 86_400 / 10


def _links_each(b: Book) -> float:
    return b.brokers * b.at("engines_used", b.engines) / b.engines


NEEDS = [
    Need(
        REQUEST,
        "processor",
        "decision module, 500 statements/s",
        "% of a core",
        _module_core,
        100.0,
        "one core, one thread",
        SHARE,
    ),
    Need(
        REQUEST,
        "processor",
        "whole broker, 500 statements/s",
        "% of a core",
        _broker_core,
        100.0,
        "one core, one thread",
        SHARE,
    ),
    Need(
        REQUEST,
        "memory",
        "process with 2,610 idle clients, and the module",
        "MB",
        _broker_mb,
        float(DEFAULT_MEMORY_MB),
        "`memory_mb`, usual value",
        "stands",
    ),
    Need(
        REQUEST,
        "state",
        "engines known to the module",
        "KB",
        lambda b: b.at("module_kb", b.engines),
        DEFAULT_MEMORY_MB * 1000.0,
        "`memory_mb`, usual value",
        "stands",
        True,
    ),
    Need(
        REQUEST,
        "sockets",
        "descriptors, clients at three fifths",
        "descriptors",
        lambda b: NEEDED_SOCKETS,
        float(SOCKETS),
        "`sockets`, usual value",
        "stands: the site's `sockets`",
    ),
    Need(
        REQUEST,
        "sockets",
        "engine connections, one an engine",
        "connections",
        lambda b: b.at("engines_used", b.engines),
        SOCKETS / 4,
        "a fourth of the usual `sockets`",
        "stands: the site's `sockets`; " + SHARE,
        True,
    ),
    Need(
        CONTROL,
        "messages",
        "datagrams sent by members and leases, most",
        "1/s",
        lambda b: b.at("members_others_datagrams_most", b.brokers),
        400.0,
        "the exchange's bound for one address",
        "stands",
        True,
    ),
    Need(
        CONTROL,
        "processor",
        "members and leases, mean",
        "% of a core",
        lambda b: b.at("members_others_cpu_mean", b.brokers),
        CPU,
        "the target",
        "stands",
        True,
    ),
    Need(
        CONTROL,
        "processor",
        "members and leases, most",
        "% of a core",
        lambda b: b.at("members_others_cpu_most", b.brokers),
        CPU,
        "the target",
        "stands",
        True,
    ),
    Need(
        CONTROL,
        "processor",
        "2.5 polls/s of an unchanged list",
        "% of a core",
        lambda b: b.at("directory_poll_ms", b.engines) * POLLS / 10,
        CPU,
        "the target",
        HISTORY,
    ),
    Need(
        CONTROL,
        "processor",
        "changed lists read, 440 a day",
        "% of a core",
        _changes_core,
        CPU,
        "the target",
        HISTORY,
    ),
    Need(
        CONTROL,
        "time",
        "requests stand still while a changed list is read",
        "ms",
        lambda b: b.at("directory_read_ms", b.engines),
        5.0,
        "the module's tick",
        HISTORY,
        True,
    ),
    Need(
        CONTROL,
        "network",
        "2.5 whole lists/s of engines received",
        "KB/s",
        lambda b: b.at("directory_bytes", b.engines) * POLLS / 1000,
        NET,
        "the target",
        HISTORY,
    ),
    Need(
        CONTROL,
        "network",
        "members, figures, sights: sent, most",
        "KB/s",
        _control_out,
        NET,
        "the target",
        "stands",
    ),
    Need(
        CONTROL,
        "network",
        "members, plan, summary: received, most",
        "KB/s",
        _control_in,
        NET,
        "the target",
        "stands",
    ),
    Need(
        CONTROL,
        "state",
        "brokers named in fleet.yaml",
        "brokers",
        lambda b: b.brokers,
        "fleet_yaml_peers",
        "PEERS_MOST",
        HISTORY,
        True,
    ),
    Need(
        CONTROL,
        "time",
        "fleet.yaml read at a reload, requests stand still",
        "ms",
        lambda b: b.at("fleet_yaml_ms", b.brokers),
        5.0,
        "the module's tick",
        HISTORY,
        True,
    ),
    Need(
        CONTROL,
        "state",
        "engines a sight names, of those used",
        "engines",
        lambda b: b.at("engines_used", b.engines),
        float(SIGHT_ENGINES),
        "a sight's bound",
        SHARE,
        True,
    ),
    Need(
        VOTER,
        "processor",
        "members and 50 leases, mean of five",
        "% of a core",
        lambda b: b.at("members_voters_cpu_mean", b.brokers),
        CPU,
        "the target (a voter is a broker)",
        "stands",
        True,
    ),
    Need(
        VOTER,
        "processor",
        "members and 50 leases, most of five",
        "% of a core",
        lambda b: b.at("members_voters_cpu_most", b.brokers),
        CPU,
        "the target (a voter is a broker)",
        "stands",
        True,
    ),
    Need(
        VOTER,
        "messages",
        "datagrams sent, most of five",
        "1/s",
        lambda b: b.at("members_voters_datagrams_most", b.brokers),
        None,
        "none set",
        "stands",
        True,
    ),
    Need(
        VOTER,
        "network",
        "members and 50 leases: sent, most",
        "KB/s",
        lambda b: b.at("members_voters_kb_most", b.brokers),
        NET,
        "the target (a voter is a broker)",
        "stands",
        True,
    ),
    Need(
        PLANNER,
        "messages",
        "sights received, all well",
        "1/s",
        lambda b: b.brokers * SIGHTS,
        None,
        "none set",
        OWN_MACHINE,
    ),
    Need(
        PLANNER,
        "network",
        "sights received, all well",
        "KB/s",
        _sights_in(SIGHTS),
        NET,
        "the target (the planner is a broker)",
        OWN_MACHINE,
    ),
    Need(
        PLANNER,
        "network",
        "sights received, something fails everywhere",
        "KB/s",
        _sights_in(SIGHTS_BAD),
        NET,
        "the target (the planner is a broker)",
        OWN_MACHINE,
    ),
    Need(
        PLANNER,
        "network",
        "plans sent, each second",
        "KB/s",
        lambda b: b.fact("plan_bytes") * PLANS * (b.brokers - 1) / 1000,
        NET,
        "the target (the planner is a broker)",
        OWN_MACHINE,
    ),
    Need(
        PLANNER,
        "network",
        "summary's holder: figures in, summaries out",
        "KB/s",
        lambda b: (b.fact("figures_bytes") + b.at("summary_bytes", b.brokers)) * b.brokers / SUMMARY_S / 1000,
        NET,
        "the target (the holder is a broker)",
        OWN_MACHINE,
    ),
    Need(
        PLANNER,
        "processor",
        "ten acts/s and sights, all well",
        "% of a core",
        _planner_core(SIGHTS, "planner_well_ms"),
        CPU,
        "the target (the planner is a broker)",
        OWN_MACHINE,
    ),
    Need(
        PLANNER,
        "processor",
        "ten acts/s and sights, a zone lost",
        "% of a core",
        _planner_core(SIGHTS_BAD, "planner_lost_ms"),
        CPU,
        "the target (the planner is a broker)",
        OWN_MACHINE,
    ),
    Need(
        PLANNER,
        "time",
        "processor time of one act, a zone lost",
        "ms",
        lambda b: b.at("planner_lost_ms", b.brokers),
        ACT_MS,
        "2% of a core for 1 s, then it is cut off",
        OWN_MACHINE,
        True,
    ),
    Need(
        PLANNER,
        "time",
        "longest step of an act, requests stand still",
        "ms",
        lambda b: b.at("planner_longest_ms", b.brokers),
        5.0,
        "the module's tick",
        OWN_MACHINE,
        True,
    ),
    Need(
        PLANNER,
        "state",
        "one summary, a quarter of the brokers missing",
        "bytes",
        lambda b: b.at("summary_bytes", b.brokers),
        8_192.0,
        "a datagram's bound",
        "stands",
        True,
    ),
    Need(
        PLANNER,
        "state",
        "engines a summary has to name, a zone lost",
        "engines",
        lambda b: b.engines / ZONES,
        128.0,
        "ENGINES_MOST",
        "stands",
    ),
    Need(
        PRIMARY,
        "messages",
        "changes of the configuration",
        "a day",
        lambda b: CONFIG_A_DAY,
        None,
        "in force within 12 s",
        "was missing: a primary; now the control plane",
    ),
    Need(
        PRIMARY,
        "network",
        "a change a second as whole lists to every broker",
        "KB/s",
        lambda b: b.at("directory_bytes", b.engines) * b.brokers / 1000,
        NETWORK,
        "a link of 1 Gbit/s, assumed",
        HISTORY,
    ),
    Need(
        MACHINES,
        "state",
        "machines set aside; in use by the program",
        "machines",
        lambda b: 0.0,
        8.0,
        "the target",
        "was missing: control processes; now the control plane",
    ),
    Need(
        MACHINES,
        "network",
        "the planner's sights there, something fails everywhere",
        "KB/s",
        _sights_in(SIGHTS_BAD),
        NETWORK,
        "a link of 1 Gbit/s, assumed",
        OWN_MACHINE,
    ),
    Need(
        MACHINES,
        "processor",
        "the planner's acts and sights there, a zone lost",
        "% of a core",
        _planner_core(SIGHTS_BAD, "planner_lost_ms"),
        100.0,
        "one core, one thread",
        OWN_MACHINE,
    ),
    Need(
        DIRECTORY,
        "state",
        "the list in one answer",
        "bytes",
        lambda b: b.at("directory_bytes", b.engines),
        float(ANSWER),
        "the platform's page",
        HISTORY,
        True,
    ),
    Need(
        DIRECTORY,
        "state",
        "engines in one DNS message",
        "engines",
        lambda b: b.engines,
        "directory_fits_65535",
        "65,535 bytes",
        HISTORY,
        True,
    ),
    Need(
        DIRECTORY,
        "messages",
        "polls of all brokers",
        "1/s",
        lambda b: b.brokers * POLLS,
        None,
        "none set",
        HISTORY,
    ),
    Need(
        DIRECTORY,
        "network",
        "whole lists sent to all brokers",
        "KB/s",
        lambda b: b.at("directory_bytes", b.engines) * POLLS * b.brokers / 1000,
        NETWORK,
        "a link of 1 Gbit/s, assumed",
        HISTORY,
    ),
    Need(
        ENGINE,
        "messages",
        "statements of all brokers",
        "1/s",
        lambda b: b.brokers * RATE / b.engines,
        None,
        "none set",
        "stands",
    ),
    Need(
        ENGINE,
        "sockets",
        "connections of all brokers",
        "connections",
        _links_each,
        None,
        "none set by a site",
        SHARE,
    ),
    Need(
        FAILURES,
        "sockets",
        "machine lost: clients that come anew to each other broker",
        "connections",
        lambda b: CLIENTS / max(b.brokers - 1, 1),
        None,
        "none set",
        "stands",
    ),
    Need(
        FAILURES,
        "processor",
        "engine lost or back: its list read, all brokers together",
        "s of a core",
        lambda b: b.at("directory_read_ms", b.engines) * b.brokers / 1000,
        None,
        "none set",
        HISTORY,
    ),
    Need(
        FAILURES,
        "sockets",
        "rack lost, 20 brokers: clients that come anew to each other broker",
        "connections",
        lambda b: CLIENTS * RACK / max(b.brokers - RACK, RACK),
        None,
        "none set",
        "stands: the site's `sockets`",
    ),
    Need(
        FAILURES,
        "time",
        "zone lost: all others hold its brokers for gone",
        "s",
        lambda b: b.at("members_noticed_s", b.brokers),
        None,
        "none set",
        "stands",
        True,
    ),
    Need(
        FAILURES,
        "time",
        "zone lost: all 50 leases held again",
        "s",
        lambda b: b.at("members_loss_held_s", b.brokers),
        8.0,
        "a change of primary",
        "stands",
        True,
    ),
    Need(
        FAILURES,
        "processor",
        "zone lost: members and leases, most, in the 15 s after",
        "% of a core",
        lambda b: b.at("members_loss_cpu_most", b.brokers),
        CPU,
        "the target",
        "stands, over its limit: each change sorts the lines of all leases anew (read)",
        True,
    ),
    Need(
        FAILURES,
        "network",
        "zone lost: members and leases, most, in the 15 s after",
        "KB/s",
        lambda b: b.at("members_loss_kb_most", b.brokers),
        NET,
        "the target",
        "stands",
        True,
    ),
    Need(
        FAILURES,
        "sockets",
        "zone lost: clients that come anew to each other broker",
        "connections",
        lambda b: CLIENTS * (1 / OTHERS - 1),
        None,
        "none set",
        "stands: the site's `sockets`",
    ),
    Need(
        FAILURES,
        "processor",
        "zone lost: those clients' connections taken up, each with a statement",
        "s of a core",
        lambda b: CLIENTS * (1 / OTHERS - 1) * b.at("connect_ms", 400) / 1000,
        None,
        "none set",
        "stands",
    ),
    Need(
        FAILURES,
        "processor",
        "zone lost: the module at 667 statements/s, three fourths of the engines",
        "% of a core",
        lambda b: b.at("module_ms", b.engines * OTHERS) * RATE / OTHERS / 10,
        100.0,
        "one core, one thread",
        SHARE,
    ),
    Need(
        FAILURES,
        "state",
        "region cut from region: brokers that each side holds for gone",
        "brokers",
        lambda b: b.brokers / 2,
        None,
        "none set",
        "stands",
    ),
    Need(
        FAILURES,
        "network",
        "rack or switch back, 20 brokers: whole lists they read, 2.5/s",
        "KB/s",
        lambda b: RACK * b.at("directory_bytes", b.engines) * POLLS / 1000,
        NETWORK,
        "a link of 1 Gbit/s, assumed",
        HISTORY,
    ),
]
