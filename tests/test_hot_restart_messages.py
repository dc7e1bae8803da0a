"""Compatibility of two versions at a hot restart: each message and operators.json.

The expected bytes were recorded from revision 2b28dd0, which is called the earlier version.
"""

import json
from pathlib import Path

import pytest

from quota_gateway.errors import PeerProcessError
from quota_gateway.net.hot_restart import GatewayIdentity
from quota_gateway.net.hot_restart.messages import (
    Alive,
    ClientConnection,
    CustomerUsage,
    Hello,
    OverridesApplied,
    OverridesChanged,
    RemainingConnections,
    RetainedConnectionClosed,
    ServerConnection,
    StateEnd,
    StatePiece,
    TakeOver,
    decode,
    encode,
)
from quota_gateway.net.hot_restart.operator_overrides import (
    FILE_NAME,
    OperatorOverrides,
    OperatorOverridesFile,
)
from quota_gateway.net.hot_restart.state_transfer import (
    StateAssembly,
    TransferredState,
    split_state,
    state_end,
)

DATA = Path(__file__).parent / "data" / "hot_restart"
EARLIER_MESSAGES = json.loads((DATA / "messages-2b28dd0.json").read_text())
IDENTITY = GatewayIdentity("n0", "127.0.0.1:6379")
DRAINED = OperatorOverrides(("s-2",), drained=True, highest_token=7)
DECODED_MESSAGES = {
    b"H": Hello(IDENTITY),
    b"T": TakeOver(heartbeats=True),
    b"E": StateEnd(1617, 758227527, heartbeats=True),
    b"V": ServerConnection("s-1"),
    b"O": OverridesChanged(1, DRAINED),
    b"A": OverridesApplied(1),
    b"D": RetainedConnectionClosed(2),
    b"B": Alive(),
}


def earlier_messages(letter: str) -> list[bytes]:
    """The messages with this type letter, as the earlier version sent them."""
    return [row["bytes"].encode() for row in EARLIER_MESSAGES if row["bytes"].startswith(letter)]


@pytest.mark.parametrize("row", EARLIER_MESSAGES, ids=lambda row: f"{row['from']}-{row['bytes'][:12]}")
def test_message_of_the_earlier_version_is_decoded_and_encoded_to_the_same_bytes(row):
    """Otherwise an upgrade from 2b28dd0, or a rollback to it, would lose state or connections."""
    data = row["bytes"].encode()
    message = decode(data)
    assert encode(message) == data
    assert message == DECODED_MESSAGES.get(data[:1], message)


def test_recorded_messages_cover_every_message_type():
    kinds = {type(decode(row["bytes"].encode())) for row in EARLIER_MESSAGES}
    assert kinds == {
        *map(type, DECODED_MESSAGES.values()),
        StatePiece,
        ClientConnection,
        RemainingConnections,
        CustomerUsage,
    }


def test_fields_of_messages_of_the_earlier_version_are_decoded():
    fresh, used = map(decode, earlier_messages("C"))
    assert (fresh.has_requested, fresh.retained_id) == (False, 1)
    assert (used.has_requested, used.retained_id) == (True, 2)
    assert 0.0 < fresh.waited_s < 1.0
    first, last, usage = map(decode, earlier_messages("F"))
    assert first == RemainingConnections(clients=1, servers=1)
    assert last == RemainingConnections(clients=0, servers=0)
    assert usage == CustomerUsage("free", "00000000b4d65521", 0, 0.0, None)


def test_state_of_the_earlier_version_is_assembled_and_written_to_the_same_bytes():
    (piece,) = map(decode, earlier_messages("S"))
    (end,) = map(decode, earlier_messages("E"))
    assembly = StateAssembly()
    assembly.add(piece)
    state = assembly.complete(end)
    assert [row["instanceId"] for row in state.server_list["instances"]] == ["s-1", "s-2"]
    assert state.overrides == OperatorOverrides(("s-2",), drained=False, highest_token=7)
    assert state.remaining == RemainingConnections(clients=3, servers=1)
    assert state.to_bytes() == piece.data
    assert state_end(state.to_bytes(), heartbeats=True) == end


def test_state_of_any_size_is_split_into_messages_and_assembled_again():
    state = TransferredState({"rows": ["x" * 50] * 2000}, {"a": 1}, DRAINED, RemainingConnections(4, 5))
    raw = state.to_bytes()
    pieces = list(split_state(raw))
    assert len(pieces) > 2
    assembly = StateAssembly()
    for piece in pieces:
        assembly.add(decode(encode(piece)))
    assert assembly.complete(state_end(raw, heartbeats=False)) == state
    with pytest.raises(PeerProcessError, match="truncated"):
        assembly.complete(StateEnd(len(raw), 0, heartbeats=False))


@pytest.mark.parametrize(
    ("data", "meaning"),
    [
        # from versions before heartbeats and retained connections
        (b"T", TakeOver(heartbeats=False)),
        (b'E{"bytes": 2, "crc": 1}', StateEnd(2, 1, heartbeats=False)),
        (b'C{"asked": true, "waited": 0.5}', ClientConnection(True, 0.5, 0)),
        (
            b'O{"number": 1, "operators": {"out": [], "drained": true}}',
            OverridesChanged(1, OperatorOverrides((), True)),
        ),
        # from a later version
        (b'E{"bytes": 2, "crc": 1, "beats": true, "season": [1]}', StateEnd(2, 1, heartbeats=True)),
        (b'F{"clients": 3, "servers": 4, "front": 1}', RemainingConnections(3, 4)),
        (b"B later", Alive()),
        (
            b'F{"plan": "p", "customer": "c", "in_hand": 2, "charged": 3, "used": 41.5, "season": 1}',
            CustomerUsage("p", "c", 2, 3.0, 41.5),
        ),
    ],
)
def test_missing_fields_get_defaults_and_unknown_fields_are_ignored(data, meaning):
    assert decode(data) == meaning


@pytest.mark.parametrize(
    "data",
    [
        b"garbage",
        b"",
        b"H",
        b"Hnull",
        b"H[]",
        b"H{}",
        b'H{"name": "n0", "listen": "127.0.0.1:6379"}',
        b'H{"version": 1, "name": "n0", "listen": "127.0.0.1:6379", "zone": "a"}',
        b"E[]",
        b'E{"bytes": 2}',
        b"Cnone",
        b"C{}",
        b'C{"asked": true, "waited": "soon"}',
        b"V\xff",
        b"F{}",
        b"F7",
        b'F{"plan": 1}',
        b'F{"clients": 1}',
        b'F{"clients": Infinity, "servers": 1}',
        b'O{"number": 1}',
        b'O{"number": 1, "operators": {"out": 7, "drained": false}}',
        b'O{"number": 1, "operators": {"out": [], "drained": false, "token": "x"}}',
        b"A",
        b"D[]",
        b"D\xff",
    ],
)
def test_bytes_that_are_no_valid_message_raise_peer_process_error(data):
    """The link would not catch an error of another type and would stay open."""
    with pytest.raises(PeerProcessError):
        decode(data)


# ---- operators.json


@pytest.mark.parametrize(
    ("name", "overrides"),
    [
        ("operators-2b28dd0.json", OperatorOverrides()),
        ("operators-server-out-2b28dd0.json", OperatorOverrides(("s-2",), False, 7)),
        ("operators-drained-2b28dd0.json", DRAINED),
    ],
)
def test_file_of_the_earlier_version_is_read_and_written_to_the_same_bytes(tmp_path, name, overrides):
    """If the predecessor dies during an upgrade, only the file tells which servers are out."""
    path = tmp_path / FILE_NAME
    path.write_bytes((DATA / name).read_bytes())
    file = OperatorOverridesFile(tmp_path, IDENTITY)
    assert file.read() == overrides
    file.write(overrides)
    assert path.read_bytes() == (DATA / name).read_bytes()
    assert [entry.name for entry in tmp_path.iterdir()] == [FILE_NAME]
    file.remove()
    assert file.read() is None


def test_file_that_is_truncated_malformed_or_of_another_gateway_is_not_read(tmp_path):
    raw = (DATA / "operators-drained-2b28dd0.json").read_bytes()
    path = tmp_path / FILE_NAME
    file = OperatorOverridesFile(tmp_path, IDENTITY)
    for size in range(len(raw)):
        path.write_bytes(raw[:size])
        assert file.read() is None
    document = json.loads(raw)
    for change in (
        {"name": "n1"},
        {"version": 2},
        {"zone": "a"},
        {"operators": None},
        {"operators": []},
        {"operators": {"out": "s-2", "drained": False}},
        {"operators": {"out": []}},
        {"operators": {"out": [], "drained": False, "token": None}},
    ):
        path.write_text(json.dumps({**document, **change}))
        assert file.read() is None, change
    for content in (b"[]", b"7", b"\xff\xfe", b"null"):
        path.write_bytes(content)
        assert file.read() is None
    path.unlink()
    path.mkdir()
    assert file.read() is None


def test_file_that_can_not_be_replaced_stays_unchanged(tmp_path, monkeypatch, caplog):
    """The disk is full, or the process dies while it writes: a partial file would be read as no file."""
    file = OperatorOverridesFile(tmp_path, IDENTITY)
    file.write(DRAINED)

    def fail(_path, text):
        with open(_path, "w") as part:
            part.write(text[:20])
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(Path, "write_text", fail)
    file.write(OperatorOverrides())
    assert file.read() == DRAINED
    assert "operators' overrides can't be saved" in caplog.text
