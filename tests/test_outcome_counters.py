"""Counters of requests given up: their texts, which operators' scripts read, and their periodic log line."""

import json
from collections import Counter

import pytest

from quota_gateway import Status
from quota_gateway.state import GiveUpReason, OutcomeCounters


def test_reasons_have_the_texts_that_operators_scripts_read():
    assert {reason.value for reason in GiveUpReason} == {
        "thin",
        "quota",
        "cap",
        "ceiling",
        "crowded",
        "waited: cap",
        "waited: ceiling",
        "waited: pool",
        "drained",
        "deadline",
        "error",
        "full",
        "timeout",
        "connect_failed",
        "reset",
        "cancelled",
        "not_sent",
    }


@pytest.mark.parametrize("status", [status for status in Status if status is not Status.OK])
def test_every_status_of_a_failed_attempt_has_a_reason_with_the_same_text(status):
    assert GiveUpReason.of_attempt(status).value == status.value


def test_a_successful_attempt_has_no_reason():
    with pytest.raises(ValueError, match="ok"):
        GiveUpReason.of_attempt(Status.OK)


def test_log_line_comes_once_an_interval_and_counts_requests_since_the_last_one():
    counters = OutcomeCounters(log_interval_ms=5000.0)
    assert counters.add(GiveUpReason.OVER_QUOTA, "basis", now_ms=1000.0, started_ms=1000.0) == ""
    assert counters.add(GiveUpReason.OVER_QUOTA, "basis", now_ms=5999.0, started_ms=1000.0) == ""
    line = counters.add(GiveUpReason.QUEUE_FULL, "campus", now_ms=6000.0, started_ms=1000.0)
    assert line == "crowded campus 1, quota basis 2"
    assert counters.add(GiveUpReason.QUEUE_FULL, "campus", now_ms=6001.0, started_ms=1000.0) == ""
    line = counters.add(GiveUpReason.QUEUE_FULL, "campus", now_ms=11_000.0, started_ms=1000.0)
    assert line == "crowded campus 2"


def test_totals_continue_across_log_lines_and_have_the_reasons_texts_as_keys():
    counters = OutcomeCounters(log_interval_ms=0.0)
    for _ in range(3):
        counters.add(GiveUpReason.QUEUED_FOR_CONCURRENCY_LIMIT, "basis", now_ms=1.0, started_ms=0.0)
    assert counters.totals == Counter({"waited: pool": 3})
    assert json.dumps(dict(counters.totals)) == '{"waited: pool": 3}'
