"""Recordings: replay, detection of a changed action, damaged files, and the command line."""

import io
import sys
from pathlib import Path

import pytest

from quota_gateway import api
from quota_gateway.compatibility import RECORDING_HEAD
from quota_gateway.recording import __main__ as command
from quota_gateway.recording.codec import Recorder, RecordingError, play
from quota_gateway.recording.names import to_recorded
from quota_gateway.recording.random_driver import drive

SMALL = Path(__file__).parent / "recordings" / "small.jsonl"  # made by README's command


def recorded(seed: int, gateways: int, steps: int) -> list[bytes]:
    sink = io.BytesIO()
    recorder = Recorder(sink)
    drive(recorder.open, seed, gateways, steps)
    recorder.close()
    return sink.getvalue().splitlines(keepends=True)


def test_replay_of_an_earlier_version_s_recording_gives_the_same_actions():
    with open(SMALL, "rb") as source:
        comparison = play(iter(source))
    assert comparison.difference == ""
    assert comparison.is_same
    assert comparison.events >= 300


@pytest.mark.parametrize(
    ("text", "recorded"),
    [
        (
            "given up: quota basis 12; concurrency limit 6.1, attempts within threshold 4, queued 0",
            "given up: quota basis 12; pool 6.1, out 4, parked 0",
        ),
        ("server 7 is a suspected outlier: connect_failed", "server 7 doubted: connect_failed"),
        ("server s-1 is a suspected outlier for a b: timeout", "server s-1 doubted for a b: timeout"),
        ("drain begun by an operator", "drained by hand"),
        ("drain ended by an operator", "takes clients again"),
        ("handed over to the next process with 4 requests pending", "handed over with 4 requests in hand"),
        ("request rejected: unknown class 'x' or plan 'y'", "refused: unknown class 'x' or plan 'y'"),
        ("another line", "another line"),
    ],
)
def test_log_lines_are_recorded_with_the_texts_of_version_1(text, recorded):
    assert to_recorded(api.Log(text)) == {"text": recorded}


def test_one_changed_action_among_a_hundred_thousand_is_detected():
    lines = recorded(seed=7, gateways=16, steps=5000)
    comparison = play(iter(lines))
    assert comparison.is_same
    assert comparison.actions >= 100_000
    number = max(n for n, line in enumerate(lines) if b'"Send",{' in line and n < 0.9 * len(lines))
    head, sent = lines[number].rsplit(b'"server":', 1)
    lines[number] = head + b'"server":9' + sent
    comparison = play(iter(lines))
    assert not comparison.is_same
    assert comparison.difference.startswith(f"line {number + 1}: ")


@pytest.mark.parametrize(
    ("kept_share", "events"), [(1.0, 30), (0.5, 29)], ids=["between lines", "within a line"]
)
def test_recording_that_is_cut_off_is_compared_as_far_as_it_goes(kept_share, events):
    lines = recorded(seed=3, gateways=1, steps=100)
    last = lines[31]
    comparison = play(iter([*lines[:31], last[: int(len(last) * kept_share)]]))
    assert comparison.events == events
    assert not comparison.difference
    assert not comparison.is_complete
    assert not comparison.is_same


@pytest.mark.parametrize(
    ("lines", "error"),
    [
        ([], "line 1: not the head"),
        ([b"{}\n"], "line 1: not the head"),
        ([RECORDING_HEAD + b"\n", b'["event"\n', b"[]\n"], "line 2: DecodeError"),
        ([RECORDING_HEAD + b"\n", b'["event","g",1,"Drain",{"active":true},[]]\n'], "line 2: KeyError: 'g'"),
        ([RECORDING_HEAD + b"\n", b'["open","g",1,{"gateways":0}]\n'], "line 2: ValidationError"),
        (
            [RECORDING_HEAD + b"\n", b'["end",3]\n'],
            "line 2: ValueError: 0 events before the end line, which says 3",
        ),
        ([RECORDING_HEAD + b"\n", b"7\n"], "line 2: ValueError: 7 is not a line"),
    ],
)
def test_error_in_a_recording_names_the_line(lines, error):
    with pytest.raises(RecordingError, match="^" + error):
        play(iter(lines))


@pytest.mark.parametrize(
    ("damage", "code", "message"),
    [
        (lambda data: data, 0, "the same"),
        (lambda data: data[:-40], 1, "cut off after"),
        (lambda data: data.replace(b'"delay_ms":', b'"delay_ms":1', 1), 1, "NOT the same"),
        (lambda data: b"x" + data, 2, "not the head"),
    ],
)
def test_play_and_time_commands_report_the_result_and_exit_code(
    tmp_path, monkeypatch, capsys, damage, code, message
):
    file = tmp_path / "r.jsonl"
    monkeypatch.setattr(sys, "argv", ["recording", "drive", str(file), "--gateways", "1", "--steps", "200"])
    assert command.main() == 0
    file.write_bytes(damage(file.read_bytes()))
    monkeypatch.setattr(sys, "argv", ["recording", "play", str(file)])
    assert command.main() == code
    out = capsys.readouterr()
    assert message in out.out + out.err
    monkeypatch.setattr(sys, "argv", ["recording", "time", str(file)])
    # of a recording that is cut off, the part that can be read is timed
    assert command.main() == (2 if code == 2 else 0)
    assert ("not the head" if code == 2 else "s of CPU") in "".join(capsys.readouterr())
