"""The table that the command ``trial`` prints: how simulated rollouts end, by what the change does."""

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
    "the change does",
    Verdict.PASSED.value,
    Verdict.WORSE.value,
    Verdict.COMMON_FAULT.value,
    "can't tell",
    "stage",
    "s until",
    "hurt: median",
    "95th",
)
VERDICTS = (Verdict.PASSED, Verdict.WORSE, Verdict.COMMON_FAULT, Verdict.UNDECIDED)
NO_STOP = ("-", "-", "-", "-")  # of a harm that stopped no rollout
LATE_RATIO = 0.95
CHUNK_SIZE = 10  # rollouts that a process takes at once


def simulation_table(harms: Iterable[str], rollouts: int, targets: int, requests_per_s: float) -> Table:
    """Simulate so many rollouts of each harm, on all cores."""
    title = f"{rollouts} rollouts each, {targets} members, {requests_per_s:g} requests a second each"
    table = Table(*COLUMNS, title=title)
    with ProcessPoolExecutor() as pool:
        for harm in harms:
            simulate = partial(simulate_rollout, harm, targets, requests_per_s)
            results = list(pool.map(simulate, range(rollouts), chunksize=CHUNK_SIZE))
            counts = Counter(result.verdict for result in results)
            ratios = [f"{counts[verdict] / rollouts:.2%}" for verdict in VERDICTS]
            table.add_row(harm, *ratios, *_stop_columns(results))
    return table


def _stop_columns(results: Sequence[SimulationResult]) -> Sequence[str]:
    """When rollouts were stopped, and how many requests the changed targets had received by then."""
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
