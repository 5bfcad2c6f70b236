"""A plot of capacity runs: times and costs over the number of brokers, with their limits."""

from cypressledge.lab.capacity import checks
from cypressledge.lab.capacity.capacity_run import CapacityRun


def draw_plot(runs: list[CapacityRun], path: str) -> None:
    """Draw the runs' figures over the number of brokers into an image file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = sorted((run.figures for run in runs), key=lambda figures: figures["brokers"])
    brokers = [figures["brokers"] for figures in rows]
    figure, axes = pyplot.subplots(3, 1, sharex=True, figsize=(8, 9))
    panels = (
        (("p99_s", "most_s", "primary_most_s"), checks.IN_FORCE_LIMIT_S, "s"),
        (("hollow_cpu_pct", "real_cpu_pct"), checks.CPU_LIMIT_PCT, "% of a core"),
        (("hollow_net_kb_s", "real_net_kb_s"), checks.NETWORK_LIMIT_KB_S, "KB/s"),
    )
    for axis, (names, limit, unit) in zip(axes, panels, strict=True):
        for name in names:
            axis.plot(brokers, [figures[name] for figures in rows], marker="o", label=name)
        axis.axhline(limit, color="red", linestyle="--", label=f"limit {limit:g}")
        axis.set_ylabel(unit)
        axis.legend()
    axes[0].axhline(checks.LEADER_LIMIT_S, color="orange", linestyle="--")
    axes[0].set_title(f"seed {rows[0]['seed']}, {rows[0]['seconds']:g} s, {rows[0]['engines']} engines")
    axes[-1].set_xlabel("brokers")
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
