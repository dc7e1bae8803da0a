"""What two versions exchange at a hot restart: every message and operators.json, as 2b28dd0 wrote them."""

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
    RemainingConnections,
    RetainedConnectionClosed,
    ServerConnection,
    StateEnd,
    StatePiece,
    TakeOver,
    WishesApplied,
    WishesChanged,
    decode,
    encode,
)
from quota_gateway.net.hot_restart.operator_wishes import FILE_NAME, OperatorWishes, OperatorWishesFile
from quota_gateway.net.hot_restart.state_transfer import StateAssembly, TransferredState, end_of, split

DATA = Path(__file__).parent / "data" / "hot_restart"
EARLIER = json.loads((DATA / "messages-2b28dd0.json").read_text())
IDENTITY = GatewayIdentity("n0", "127.0.0.1:6379")
DRAINED = OperatorWishes(("s-2",), drained=True, highest_token=7)
MEANINGS = {
    b"H": Hello(IDENTITY),
    b"T": TakeOver(heartbeats=True),
    b"E": StateEnd(1617, 758227527, heartbeats=True),
    b"V": ServerConnection("s-1"),
    b"O": WishesChanged(1, DRAINED),
    b"A": WishesApplied(1),
    b"D": RetainedConnectionClosed(2),
    b"B": Alive(),
}


def earlier(letter: str) -> list[bytes]:
    """The messages of a letter, as 2b28dd0 sent them."""
    return [row["bytes"].encode() for row in EARLIER if row["bytes"].startswith(letter)]


@pytest.mark.parametrize("row", EARLIER, ids=lambda row: f"{row['from']}-{row['bytes'][:12]}")
def test_message_of_the_earlier_version_is_read_and_written_to_the_same_bytes(row):
    """A gateway is upgraded from 2b28dd0, or goes back to it: state or connections would be lost."""
    data = row["bytes"].encode()
    message = decode(data)
    assert encode(message) == data
    assert message == MEANINGS.get(data[:1], message)


def test_every_message_there_is_was_seen_from_the_earlier_version():
    kinds = {type(decode(row["bytes"].encode())) for row in EARLIER}
    assert kinds == {
        *map(type, MEANINGS.values()),
        StatePiece,
        ClientConnection,
        RemainingConnections,
        CustomerUsage,
    }


def test_messages_of_the_earlier_version_mean_what_they_meant():
    fresh, used = map(decode, earlier("C"))
    assert (fresh.has_requested, fresh.retained_id) == (False, 1)
    assert (used.has_requested, used.retained_id) == (True, 2)
    assert 0.0 < fresh.waited_s < 1.0
    first, last, usage = map(decode, earlier("F"))
    assert first == RemainingConnections(clients=1, servers=1)
    assert last == RemainingConnections(clients=0, servers=0)
    assert usage == CustomerUsage("free", "00000000b4d65521", 0, 0.0, None)


def test_state_of_the_earlier_version_is_assembled_and_written_to_the_same_bytes():
    (piece,) = map(decode, earlier("S"))
    (end,) = map(decode, earlier("E"))
    assembly = StateAssembly()
    assembly.add(piece)
    state = assembly.complete(end)
    assert [row["instanceId"] for row in state.server_list["instances"]] == ["s-1", "s-2"]
    assert state.wishes == OperatorWishes(("s-2",), drained=False, highest_token=7)
    assert state.remaining == RemainingConnections(clients=3, servers=1)
    assert state.to_bytes() == piece.data
    assert end_of(state.to_bytes(), heartbeats=True) == end


def test_state_of_any_size_is_split_into_messages_and_assembled_again():
    state = TransferredState({"rows": ["x" * 50] * 2000}, {"a": 1}, DRAINED, RemainingConnections(4, 5))
    raw = state.to_bytes()
    pieces = list(split(raw))
    assert len(pieces) > 2
    assembly = StateAssembly()
    for piece in pieces:
        assembly.add(decode(encode(piece)))
    assert assembly.complete(end_of(raw, heartbeats=False)) == state
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
            WishesChanged(1, OperatorWishes((), True)),
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
def test_fields_that_are_missing_or_unknown_are_those_of_another_version(data, meaning):
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
def test_bytes_that_are_no_message_are_a_typed_error(data):
    """A peer sends garbage: an error of another kind would pass the link, which would stay open."""
    with pytest.raises(PeerProcessError):
        decode(data)


# ---- operators.json


@pytest.mark.parametrize(
    ("name", "wishes"),
    [
        ("operators-2b28dd0.json", OperatorWishes()),
        ("operators-server-out-2b28dd0.json", OperatorWishes(("s-2",), False, 7)),
        ("operators-drained-2b28dd0.json", DRAINED),
    ],
)
def test_file_of_the_earlier_version_is_read_and_written_to_the_same_bytes(tmp_path, name, wishes):
    """The process before dies at the upgrade: servers that are out would be used again without the file."""
    path = tmp_path / FILE_NAME
    path.write_bytes((DATA / name).read_bytes())
    file = OperatorWishesFile(tmp_path, IDENTITY)
    assert file.read() == wishes
    file.write(wishes)
    assert path.read_bytes() == (DATA / name).read_bytes()
    assert [entry.name for entry in tmp_path.iterdir()] == [FILE_NAME]
    file.remove()
    assert file.read() is None


def test_file_that_is_cut_off_anywhere_or_of_another_gateway_is_not_read(tmp_path):
    raw = (DATA / "operators-drained-2b28dd0.json").read_bytes()
    path = tmp_path / FILE_NAME
    file = OperatorWishesFile(tmp_path, IDENTITY)
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
    for other in (b"[]", b"7", b"\xff\xfe", b"null"):
        path.write_bytes(other)
        assert file.read() is None
    path.unlink()
    path.mkdir()
    assert file.read() is None


def test_file_that_can_not_be_replaced_stays_as_it_was(tmp_path, monkeypatch, caplog):
    """The disk is full, or the process dies while it writes: a part of a file would be read as no file."""
    file = OperatorWishesFile(tmp_path, IDENTITY)
    file.write(DRAINED)

    def fail(_path, text):
        with open(_path, "w") as part:
            part.write(text[:20])
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(Path, "write_text", fail)
    file.write(OperatorWishes())
    assert file.read() == DRAINED
    assert "operators' wishes can't be saved" in caplog.text
