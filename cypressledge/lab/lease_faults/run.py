"""The command `lab leases`: plays runs under random faults, and checks that two holders never act at once."""

from collections.abc import Callable
from dataclasses import dataclass

from cypressledge.lab.lease_faults.lease_run import FAULT_KINDS, LeaseRun, LeaseRunOptions
from cypressledge.lab.summary_statistics import quantile

EXIT_BROKEN = 1
EXIT_INCONCLUSIVE = 3


@dataclass(frozen=True, slots=True)
class LeaseFaultsOptions:
    """The command's options; `only`: comma-separated kinds of faults to draw from, or empty for all."""

    brokers: int
    voters: int
    seed: int
    runs: int
    seconds: float
    no_fence: bool
    term: float
    keep: str
    only: str

    def run_options(self, seed: int) -> LeaseRunOptions:
        """Return the options of one run."""
        kinds = tuple(kind.strip() for kind in self.only.split(",")) if self.only else FAULT_KINDS
        folder = self.keep and f"{self.keep}/{seed}"
        return LeaseRunOptions(
            self.brokers, self.voters, self.seconds, self.term, not self.no_fence, kinds, folder
        )


def run(options: LeaseFaultsOptions, echo: Callable[[str], None]) -> int:
    """Play the runs and return the exit code.

    1: an invariant was violated. 3: a run was inconclusive. 0: otherwise.
    """
    runs: list[LeaseRun] = []
    inconclusive = 0
    for seed in range(options.seed, options.seed + options.runs):
        lease_run = LeaseRun(seed, options.run_options(seed))
        lease_run.play()
        runs.append(lease_run)
        _print_run(lease_run, echo)
        if why := lease_run.inconclusive_reason():
            inconclusive += 1
            echo(f"  this run is inconclusive: {why}")
    takeovers = [seconds for lease_run in runs for seconds in lease_run.takeovers]
    handovers = [seconds for lease_run in runs for seconds in lease_run.handovers]
    echo(_times("after a kill of a holder the next acts", takeovers, options.term))
    echo(_times("after SIGTERM the next acts", handovers, options.term))
    echo(_summary(runs))
    if any(lease_run.verdict.broken for lease_run in runs):
        return EXIT_BROKEN
    return EXIT_INCONCLUSIVE if inconclusive else 0


def _print_run(lease_run: LeaseRun, echo: Callable[[str], None]) -> None:
    verdict = lease_run.verdict
    echo(
        f"seed {lease_run.seed}: {verdict.acts} acts, {verdict.grants} grants, "
        f"{verdict.rejected} stale acts rejected, {sum(lease_run.fault_counts.values())} faults "
        f"({', '.join(sorted(lease_run.fault_counts))}), longest gap {verdict.longest_gap / 1e6:.2f} s"
    )
    for line in (*verdict.overlaps, *verdict.beliefs, *verdict.shrunk):
        echo(f"  BROKEN {line}")


def _summary(runs: list[LeaseRun]) -> str:
    verdicts = [lease_run.verdict for lease_run in runs]
    overlaps = sum(len(verdict.overlaps) + len(verdict.beliefs) for verdict in verdicts)
    return (
        f"leases: runs {len(runs)}, acts {sum(verdict.acts for verdict in verdicts)}, overlaps {overlaps}, "
        f"stale acts accepted {sum(verdict.stale for verdict in verdicts)}, "
        f"longest gap {max(verdict.longest_gap for verdict in verdicts) / 1e6:.2f} s"
    )


def _times(what: str, seconds: list[float], term: float) -> str:
    if not seconds:
        return f"{what}: not seen"
    median = quantile(seconds, 0.5)
    p99 = quantile(seconds, 0.99)
    return f"{what}: {len(seconds)} times, median {median:.3f} s, p99 {p99:.3f} s ({p99 / term:.2f} terms)"
