"""The table that the command ``trial`` prints: how simulated rollouts end, by the effect of the change."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from statistics import median

from rich.table import Table

from quota_gateway.rollout.canary_analysis import Verdict
from quota_gateway.rollout.canary_simulation import SimulationResult, simulate_rollout

COLUMNS = (
    "effect",
    Verdict.PASSED.value,
    Verdict.WORSE.value,
    Verdict.COMMON_FAULT.value,
    "undecided",
    "stage",
    "seconds",
    "requests: median",
    "95th",
)
VERDICTS = (Verdict.PASSED, Verdict.WORSE, Verdict.COMMON_FAULT, Verdict.UNDECIDED)
NO_STOP = ("-", "-", "-", "-")  # columns of an effect for which no rollout was stopped
LATE_RATIO = 0.95
CHUNK_SIZE = 10  # rollouts that are handed to a worker process at a time


def simulation_table(effects: Iterable[str], rollouts: int, targets: int, requests_per_s: float) -> Table:
    """Simulate ``rollouts`` rollouts for each effect of `CHANGE_EFFECTS` named, on all cores."""
    title = (
        f"{rollouts} rollouts each, {targets} gateways, {requests_per_s:g} requests a second each; "
        "stage, seconds and requests: until stopped"
    )
    table = Table(*COLUMNS, title=title)
    with ProcessPoolExecutor() as pool:
        for effect in effects:
            simulate = partial(simulate_rollout, effect, targets, requests_per_s)
            results = list(pool.map(simulate, range(rollouts), chunksize=CHUNK_SIZE))
            counts = Counter(result.verdict for result in results)
            ratios = [f"{counts[verdict] / rollouts:.2%}" for verdict in VERDICTS]
            table.add_row(effect, *ratios, *_stop_columns(results))
    return table


def _stop_columns(results: Sequence[SimulationResult]) -> Sequence[str]:
    """At which stage and when rollouts were stopped, and the requests that changed targets received by then.

    The stage and the seconds are medians over the stopped rollouts.
    """
    stopped = sorted(
        (result for result in results if result.verdict is Verdict.WORSE),
        key=lambda result: result.changed_requests,
    )
    if not stopped:
        return NO_STOP
    middle = stopped[len(stopped) // 2]
    late = stopped[int(LATE_RATIO * len(stopped))]
    stage = median(result.stage for result in stopped)
    duration_s = median(result.duration_s for result in stopped)
    return (f"{stage:g}", f"{duration_s:g}", str(middle.changed_requests), str(late.changed_requests))
