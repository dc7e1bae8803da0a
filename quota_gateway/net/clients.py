"""The listener for clients: commands in, replies out in the order of the commands."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections import OrderedDict, deque
from collections.abc import Callable
from math import inf
from typing import cast

import hiredis

from quota_gateway import api
from quota_gateway.net.declared_lengths import Lengths
from quota_gateway.net.driver import CLIENT_MARGIN_MS, Call, Driver
from quota_gateway.net.servers import Source
from quota_gateway.net.sockets import unread

log = logging.getLogger(__name__)

MOST_PIPELINED = 64  # commands of one connection in hand; what comes behind waits, MOST_BEHIND of it read
READ = 64 * 1024  # bytes read at once
LONGEST_COMMAND = 192 * 1024  # bytes read without a whole command: a body, one read, and to spare
MOST_BEHIND = 2 * 1024 * 1024  # bytes read behind as many commands as may be in hand, over all connections
MOST_UNSENT = 8 * 1024 * 1024  # bytes of answers that clients have not taken, over all of them
BODY_ROUNDS = 3  # times that a body may go on for as long as a command may, while its bytes come
LONGEST_WORD = 64 * 1024  # bytes: what the protocol allows a value
STALLED_S = 15.0  # a client that takes no byte of its answers for so long is gone
WHOLE_S = 2.5  # until a first request, and for the rest of a command: a peer is owed a close within 3 s
MOST_BAD = 16  # bad commands in a row: who sends more is no client
LINGER_S = 0.4  # for what still comes behind a close: with WHOLE_S it stays under the 3 s that a peer is owed
MOST_LINGERING = 16  # connections that are over but for that, beyond those that may be open
MOST_THROWN = 1024 * 1024  # bytes that are read only to be thrown away: who sends more is no client
LATE_S = 0.25  # at the stop, for a command that is on its way: half of it is here, or a new connection
SWEEP_S = 0.1  # between two looks at idle connections while they are not wanted
BIND_S = 10.0  # for the address to become free
BACKLOG = 1024  # connections that wait to be accepted
LAST_CUSTOMER = 1 << 33
IDS = 64  # bytes of a request's id at most


class CommandError(ValueError):
    """A command that is answered with an error; the connection lives on."""


def _number(fields: dict[bytes, bytes], name: bytes, default: str, low: float, high: float) -> float:
    text = fields.get(name)
    try:
        value = float(text if text is not None else default)
    except ValueError:
        raise CommandError(f"bad value of {name.decode()}") from None
    if not low <= value <= high:
        raise CommandError(f"bad value of {name.decode()}")
    return value


class Commands:
    """Reads CALL.GET and CALL.POST into requests."""

    def __init__(self, settings: api.Settings) -> None:
        self.gateways = settings.gateways
        self.classes = {item.name.encode(): item for item in settings.classes}
        self.plans = {item.name.encode(): item.name for item in settings.plans}
        self.aims = {item.name: item.latency_objective_ms for item in settings.classes}

    def read(
        self,
        command: list[bytes],
        waited_ms: float = 0.0,
    ) -> tuple[api.Request, Callable[[float], bytes]]:
        """The request, and a function that encodes it for a server with the milliseconds left to it.

        ``waited_ms``: how long the command has waited here unread. Raises CommandError.
        """
        name = command[0].upper()
        posts = command[0].upper() == b"CALL.POST"
        if len(command) != (5 if posts else 4):
            raise CommandError(f"wrong number of arguments for {name.decode()}")
        _, customer, request_id, listed = command[:4]
        fields = self._fields(listed)
        kind = self.classes.get(fields.get(b"c", b""))
        plan = self.plans.get(fields.get(b"t", b""))
        if kind is None or plan is None:
            raise CommandError("unknown class or plan")
        if posts == (kind.idempotency is api.Idempotency.IDEMPOTENT):
            raise CommandError("the class does not go with the command")
        if kind.idempotency is api.Idempotency.WITH_KEY and not fields.get(b"k"):
            raise CommandError("a keyed class without a key")
        _number(fields, b"d", "", 0.001, 1e9)
        request = api.Request(
            request_id=self._id(request_id),
            class_name=kind.name,
            plan=plan,
            customer=self._customer(customer),
            client_timeout_ms=max(0.0, float(fields[b"d"]) - CLIENT_MARGIN_MS - waited_ms),
            units=_number(fields, b"units", "1", 1e-6, 1e6),
            gateway_span=int(_number(fields, b"spread", str(self.gateways), 1, 1e6)),
            first_gateway=int(_number(fields, b"first", "0", 0, 1e6)),
            is_retry=fields.get(b"r") == b"1",
            is_write=posts,
        )
        return request, _encoder(name, command, listed)

    def _fields(self, listed: bytes) -> dict[bytes, bytes]:
        fields = {}
        for part in listed.split(b","):
            name, equals, value = part.partition(b"=")
            if not equals or not name or name in fields:
                raise CommandError("bad list of names and values")
            fields[name] = value
        return fields

    def _id(self, text: bytes) -> str:
        if not 0 < len(text) <= IDS or not text.isalnum():
            raise CommandError("bad request id")
        return text.decode("ascii")

    def _customer(self, text: bytes) -> str:
        if len(text) != 16:
            raise CommandError("bad customer")
        try:
            number = int(text, 16)
        except ValueError:
            raise CommandError("bad customer") from None
        if not 0 <= number < LAST_CUSTOMER:
            raise CommandError("bad customer")
        return text.decode("ascii")


def _encoder(name: bytes, command: list[bytes], listed: bytes) -> Callable[[float], bytes]:
    """Everything goes on unchanged but ``d``, which tells how long the gateway waits."""
    parts = listed.split(b",")
    place = next(number for number, part in enumerate(parts) if part.startswith(b"d="))

    def encode(wait_ms: float) -> bytes:
        parts[place] = b"d=%d" % max(1, int(wait_ms))
        words = [name, command[1], command[2], b",".join(parts), *command[4:]]
        return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)

    return encode


class Slot:
    """The place of a command's reply in the order of its connection."""

    __slots__ = ("connection", "answer", "request_id", "value")

    def __init__(self, connection: Client, answer: bytes | None = None, request_id: str = "") -> None:
        self.connection = connection
        self.answer = answer
        self.request_id = request_id
        self.value: Value | None = None

    def fill(self, answer: bytes) -> None:
        """The command's one answer."""
        self.answer = answer
        self.connection.unsent(len(answer))
        self.connection.flush()

    def begin(self, length: int, source: Source) -> Value | None:
        """The command's one answer begins, and comes in pieces."""
        if not self.connection.open():
            return None
        self.value = Value(self.connection, length, source)
        self.connection.flush()
        return self.value


class Value:
    """A long value on its way to a client. Its source rests until it is its turn, and while the client does.

    Guards against a value that piles up here: one read of its source is held at most.
    """

    def __init__(self, connection: Client, length: int, source: Source) -> None:
        self.connection = connection
        self.source = source
        self.held = b"$%d\r\n" % length
        self.ended = self.whole = False

    def write(self, data: bytes) -> None:
        """The next piece; nothing is kept for a client that has gone."""
        if not self.connection.open():
            return
        self.held += data
        self.connection.flush()
        if self.held or self.connection.stuck:
            self.source.pause()

    def end(self, whole: bool) -> None:
        """All has come, or no more will."""
        self.ended = True
        self.whole = whole
        if whole:
            self.held += b"\r\n"
        self.connection.flush()

    def take(self) -> bytes:
        """What may be written now."""
        held = self.held
        self.held = b""
        return held


class Client(asyncio.BufferedProtocol):
    """One client's connection."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.reader = hiredis.Reader(replyError=CommandError)
        self.slots: deque[Slot] = deque()
        self.lengths = Lengths(LONGEST_WORD)
        self.unparsed = 0
        self.out_of_bounds = False  # what came behind what the parser has is no command
        self.transport: asyncio.Transport | None = None
        self.ending = self.stuck = self.paused = self.reading = False
        self.full = False  # as many are in hand as may be: what has come behind them waits
        self.lingering: asyncio.TimerHandle | None = None  # closed but for what still comes
        self.behind = 0  # bytes of commands that wait so
        self.thrown = 0  # bytes that came behind the last command and were thrown away
        self.made = self.idle_since = clients.loop.time()
        self.came = 0.0  # when the last bytes did, by the driver's clock
        self.grace_s = WHOLE_S
        # since the command's time began: bytes came; its further rounds
        self.moved = False
        self.rounds = 0
        self.unsent_bytes = self.stalled_at = 0
        self.read_bytes = self.written_bytes = 0  # in all
        self.retained_id = 0  # the number under which the process before this one keeps a copy of it
        self.bad = 0  # commands in a row that were answered with an error
        self.asked = False  # a request has come: clients keep such connections between their requests
        self.stall: asyncio.TimerHandle | None = None
        self.overdue: asyncio.TimerHandle | None = None  # runs while a whole command is awaited

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is up."""
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        if not self.asked:
            self._await_command()
        self.clients.opened(self)
        if self.clients.leaving:  # taken over during the stop: no look at all connections is still to come
            self.clients.loop.call_soon(self.flush)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by the event loop once the connection has ended."""
        self.transport = None
        if self.stall:
            self.stall.cancel()
        if self.lingering:
            self.lingering.cancel()
        self.clients.closed(self)
        self.clients.lingering.pop(self, None)
        self._let_go()

    def open(self) -> bool:
        """Whether answers can be written."""
        return self.transport is not None and self.lingering is None

    def _let_go(self) -> None:
        """Nobody waits for what is in hand."""
        self._command_came()
        self._count_behind(0)
        slots = self.slots
        self.slots = deque()
        self.unsent(-self.unsent_bytes)
        for slot in slots:
            if slot.answer is None:
                self.clients.driver.client_gone(slot.request_id)

    # ---- Commands in

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Where the next read goes: one room for all, as each read is taken over at once."""
        return self.clients.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop once bytes are in the buffer."""
        if self.ending or self.out_of_bounds:
            self._throw_away(nbytes)
        else:
            self.data_received(bytes(self.clients.buffer[:nbytes]))

    def _throw_away(self, nbytes: int) -> None:
        """Read and discard what comes behind the last command, up to a bound.

        Only so is the client's end seen, and a close does not reset the connection under the answers before
        it. A client that never stops sending is cut off at the bound.
        """
        self.read_bytes += nbytes
        self.thrown += nbytes
        if self.lingering and self.thrown > MOST_THROWN and self.transport:
            self.transport.abort()
        else:
            self._throttle()

    def data_received(self, data: bytes) -> None:
        """Bytes of commands."""
        self.read_bytes += len(data)
        self.clients.connections.move_to_end(self)  # the last to be pushed out
        self.idle_since = self.clients.loop.time()
        self.moved = True
        self.came = self.clients.driver.clock()
        good = self.lengths.good(data)
        self.out_of_bounds = good < len(data)
        self.reader.feed(data[:good] if self.out_of_bounds else data)
        self.unparsed += good
        self._read()

    def _read(self) -> None:
        """Read commands, but no more than may be in hand at once.

        Guards against a client that pipelines without end, or sends one command without end. A reply
        that a command gets at once calls ``flush``, which may come back here: ``reading`` says so.
        """
        self.reading = True
        while not self.ending and self.transport and not self._is_full():
            try:
                command = self.reader.gets()
            except (hiredis.HiredisError, ValueError, MemoryError):  # an array of billions is the last
                self._broken()
                break
            if command is False:
                if self.out_of_bounds or self.unparsed > LONGEST_COMMAND:
                    self._broken()
                break
            self.unparsed = 0
            self._command_came()
            self._take(command)
        self.reading = False
        self.full = self._is_full()
        if self.overdue is None and (self.lengths.within() or not self.asked):
            self._await_command()
        self._throttle()
        self._rest()
        self._leave_if_done()

    def _is_full(self) -> bool:
        return self.stuck or len(self.slots) >= MOST_PIPELINED

    def _throttle(self) -> None:
        """Read on as long as there is room for what comes.

        The client's end stands behind it, and what the client left behind is not forwarded once that is seen.
        """
        if self.transport is None or self.transport.is_closing():
            return
        if self.ending or self.out_of_bounds:
            pause = self.thrown > MOST_THROWN
        else:
            self._count_behind(self.unparsed if len(self.slots) >= MOST_PIPELINED else 0)
            pause = self.stuck or (self.behind >= READ and self.clients.behind_bytes >= MOST_BEHIND)
        if pause != self.paused:
            self.paused = pause
            (self.transport.pause_reading if pause else self.transport.resume_reading)()

    def _count_behind(self, behind: int) -> None:
        self.clients.behind_bytes += behind - self.behind
        self.behind = behind

    def _await_command(self) -> None:
        """Guards against peers that send nothing, half a command or one PING, and would stay for good."""
        self.overdue = self.clients.loop.call_later(self.grace_s, self._not_whole)
        self.grace_s = WHOLE_S
        self.moved = False

    def _command_came(self) -> None:
        self.rounds = 0
        if self.overdue:
            self.overdue.cancel()
            self.overdue = None

    def _not_whole(self) -> None:
        self.overdue = None
        if self.full:  # whole commands may wait behind those in hand: it is not the peer that is late
            self._await_command()
        elif self.moved and self.asked and self.lengths.in_last_word() and self.rounds < BODY_ROUNDS:
            self.rounds += 1  # the head has come in time, and the body is on its way
            self._await_command()
        elif not self.ending:
            self.ending = True
            if self.lengths.within():
                self._reply(b"-ERR no whole command in time\r\n")
            self._throttle()
            self._leave_if_done()

    def _broken(self) -> None:
        """What is not RESP is answered and the connection closed, after the replies before it."""
        self.ending = True
        self._reply(b"-ERR Protocol error\r\n")

    def _take(self, command: object) -> None:
        if not isinstance(command, list) or not command or not all(isinstance(w, bytes) for w in command):
            self._broken()
            return
        name = command[0].upper()
        if name in (b"CALL.GET", b"CALL.POST"):
            self._call(command)
        elif name == b"PING":
            self._reply(self.clients.pong())
        else:
            self._refuse(b"-ERR unknown command\r\n")

    def _call(self, command: list[bytes]) -> None:
        driver = self.clients.driver
        try:
            # What stood behind as many as may be in hand has waited since it came: its client counts that.
            request, encode = self.clients.commands.read(command, driver.clock() - self.came)
            if request.request_id in driver.calls:
                raise CommandError("a request of this id is in hand")
        except ValueError as error:
            self._refuse(f"-ERR {error}\r\n".encode("ascii", "replace"))
            return
        self.asked = True
        self.bad = 0
        slot = Slot(self, None, request.request_id)
        self.slots.append(slot)
        made = Call(request.request_id, encode, slot.fill, slot.begin)
        made.latency_objective_ms = self.clients.commands.aims[request.class_name]
        driver.request(made, request, request.client_timeout_ms)

    def _refuse(self, answer: bytes) -> None:
        """Answer a bad command; the connection lives on, but not for an endless row of them.

        Guards against megabytes of small commands that are no requests: each costs as much as a request.
        """
        self.bad += 1
        self.ending = self.bad >= MOST_BAD
        self._reply(answer)

    # ---- Replies out

    def _reply(self, answer: bytes) -> None:
        self.slots.append(Slot(self, answer))
        self.unsent(len(answer))
        self.flush()

    def flush(self) -> None:
        """Write the replies that are due, in the order of their commands."""
        if self.transport is None or self.lingering:
            return
        while self.slots and not self.stuck:
            slot = self.slots[0]
            if slot.value:
                if not self._pass_on(slot.value):
                    break
                if self.lingering:  # it broke off, and the connection with it
                    return
            elif slot.answer is None:
                break
            else:
                self.unsent(-len(slot.answer))
                self.transport.write(slot.answer)
                self.written_bytes += len(slot.answer)
            self.slots.popleft()
            self.idle_since = self.clients.loop.time()
            if self.lingering or self.transport.is_closing():
                return
        if self.reading:
            return
        if self.full:
            self._read()
        self._rest()
        self._leave_if_done()

    def _rest(self) -> None:
        """Tell whoever wants to know that all that was read is answered."""
        if self.clients.on_rest and not self.slots and not self.lengths.within() and not self.ending:
            self.clients.on_rest(self)

    def _pass_on(self, value: Value) -> bool:
        """Write what is there of a long value; whether that was all of it.

        One that broke off ends the connection: nothing else tells the client that it is not whole.
        """
        assert self.transport
        self.transport.set_write_buffer_limits(0)  # stuck as soon as the client does not take all
        held = value.take()
        if held:
            self.transport.write(held)
            self.written_bytes += len(held)
        if not value.ended:
            if not self.stuck:
                value.source.resume()
            return False
        if not value.whole:
            self.close()
        return True

    def unsent(self, more: int) -> None:
        """Count what the client is owed and has not been written; see ``Clients.unsent``."""
        self.unsent_bytes += more
        self.clients.unsent(more)

    def _leave_if_done(self) -> None:
        """Close between requests, when it is time to.

        Commands that were read but not taken yet, as too many were in hand, are taken first: closing
        then would lose them. At the stop, one on which something is here unread is read first.
        """
        if self.slots or not self.open():
            return
        if self.ending or (self.clients.leaving and self._may_leave()):
            self.close()
        elif self.clients.transfer:
            self.clients.try_to_transfer(self)
        elif self.asked and not self.lengths.within() and self.clients.unwanted():
            self.close_idle()

    def _may_leave(self) -> bool:
        return not self.unread() if self.clients.late else self.at_rest()

    def _between_commands(self) -> bool:
        return (
            self.open()
            and not self.slots
            and not self.ending
            and not self.lengths.within()
            and not self.out_of_bounds
        )

    def between_requests(self) -> bool:
        """Whether nothing of a command has been read, and nothing of an answer is left."""
        transport = self.transport
        return (
            transport is not None
            and self._between_commands()
            and not transport.is_closing()
            and transport.get_write_buffer_size() == 0
        )

    def idle(self) -> bool:
        """Whether a close crosses nothing that is here already: of no command a part is here, read or not."""
        return self._between_commands() and not self.unread()

    def at_rest(self) -> bool:
        """Whether it is idle and has been used: a new one has its first command on its way."""
        return self.asked and self.idle()

    def unread(self) -> bool:
        """Whether bytes, or the client's end, are here and were not read yet."""
        assert self.transport
        return self.transport.is_closing() or unread(self.transport.get_extra_info("socket").fileno())

    def close(self) -> None:
        """End a connection on which something may be on its way; there is no other way to do it.

        All answers are sent, then the end; what still comes is read and discarded for a short time. A socket
        that is closed over unread bytes resets its connection, and answers that the client has not read yet
        are lost with it.
        """
        if self.transport is None or self.lingering:
            return
        self.ending = True
        self.lingering = self.clients.loop.call_later(LINGER_S, self._lingered)
        self.clients.closed(self)
        self.clients.lingering[self] = None
        self._let_go()
        self._throttle()
        try:
            self.transport.write_eof()
        except (OSError, RuntimeError):  # it has ended meanwhile
            self.transport.abort()

    def _lingered(self) -> None:
        """Long enough; a client that is slow to take its answers has as long as any slow one."""
        if self.transport and self.transport.get_write_buffer_size():
            self._watch()
        elif self.transport:
            self.transport.abort()

    def detach(self) -> None:
        """Let go of the socket, which another process has by now."""
        self.clients.closed(self)
        if self.transport:
            self.transport.pause_reading()
            self.transport.abort()

    def refuse_for_want_of_room(self) -> None:
        """Tell a client that there are too many."""
        assert self.transport
        self.transport.write(b"-ERR max number of clients reached\r\n")

    def close_idle(self) -> None:
        """Close unless something is owed on it, or about to be."""
        if self.open() and not self.slots and not self.unread():
            self.close()

    def pause_writing(self) -> None:
        """The client does not take its answers: it is read no further, and given up after a while.

        Guards against a slow reader whose answers pile up here.
        """
        self.stuck = True
        self._throttle()
        self._watch()

    def resume_writing(self) -> None:
        """Called by the event loop as the peer takes data again."""
        self.stuck = False
        if self.stall and not self.lingering:
            self.stall.cancel()
        self.flush()

    def _watch(self) -> None:
        assert self.transport
        self.stalled_at = self.transport.get_write_buffer_size()
        if self.stall:
            self.stall.cancel()
        self.stall = self.clients.loop.call_later(STALLED_S, self._stalled)

    def _stalled(self) -> None:
        """A client that has taken something meanwhile is slow; one that has not is gone."""
        if self.transport and self.transport.get_write_buffer_size() < self.stalled_at:
            self._watch()
        elif self.transport:
            self.transport.abort()


class Clients:
    """The listener and the connections it accepted."""

    def __init__(self, driver: Driver, settings: api.Settings, most_connections: int) -> None:
        self.driver = driver
        self.commands = Commands(settings)
        self.most_connections = most_connections
        self.connections: OrderedDict[Client, None] = OrderedDict()
        self.lingering: dict[Client, None] = {}  # closed, but for what still comes on them
        self.behind_bytes = 0  # of commands that wait behind as many as may be in hand
        self.loop = asyncio.get_running_loop()
        self.ready = self.leaving = False  # ready: the list of servers is known
        self.late = False  # it leaves, and waits no longer for what is on its way
        self.adopting: set[asyncio.Task[None]] = set()  # of connections that are accepted, but not open yet
        # as the decisions want it
        self.serving = True
        self.linger_s = inf
        self.sweeper: asyncio.TimerHandle | None = None
        self.server: asyncio.Server | None = None
        self.listener: socket.socket | None = None
        self.buffer = memoryview(bytearray(READ))
        self.unsent_bytes = 0
        self.peer_connections = 0  # connections that the process before this one still holds
        self.transfer: Callable[[Client, int], bool] | None = None  # to the next process, if it takes over
        self.on_closed: Callable[[Client], None] | None = None
        self.on_opened: Callable[[Client], None] | None = None
        self.on_rest: Callable[[Client], None] | None = None  # nothing of it is in hand

    async def listen(self, host: str, port: int, passed: socket.socket | None = None) -> None:
        """Listen on this address only, or on the socket that was passed on and listens there."""
        self.listener = passed or await self._bind(host, port)
        await self.accept()

    async def _bind(self, host: str, port: int) -> socket.socket:
        """A listener of our own, as soon as the address is free.

        Guards against a process before this one that could not hand over and still listens: it will be
        stopped, and this one must be there then.
        """
        end = self.loop.time() + BIND_S
        while True:
            try:
                return socket.create_server((host, port), backlog=BACKLOG)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or self.loop.time() >= end:
                    raise
            await asyncio.sleep(SWEEP_S)

    async def accept(self) -> None:
        """Accept, on a copy of the listener: when that is closed, the listener's queue goes on filling."""
        if self.listener and not self.server:
            self.server = await self.loop.create_server(
                lambda: Client(self), sock=self.listener.dup(), backlog=BACKLOG
            )

    def stop_accepting(self) -> None:
        """Leave what comes to another process, or to later."""
        if self.server:
            self.server.close()
            self.server = None

    def adopt(
        self,
        sock: socket.socket,
        asked: bool,
        waited_s: float,
        retained_id: int = 0,
    ) -> asyncio.Task[None]:
        """Take a connection that is accepted already.

        A process beside this one that it comes from may keep a copy until it is told.
        """
        client = Client(self)
        client.asked = asked
        client.grace_s = max(0.0, WHOLE_S - waited_s)
        client.retained_id = retained_id
        task = self.loop.create_task(self._open(client, sock))
        self.adopting.add(task)
        task.add_done_callback(self.adopting.discard)
        return task

    async def _open(self, client: Client, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            sock.close()

    def try_to_transfer(self, client: Client) -> None:
        """Pass a connection on to the next process, if it is between requests."""
        if self.transfer and client.transport and client.between_requests():
            copy = client.transport.get_extra_info("socket")
            if self.transfer(client, copy.fileno()):
                client.detach()

    def pong(self) -> bytes:
        """The front takes in a gateway that says PONG: not before it knows whom to send to."""
        if not self.ready:
            return b"-LOADING the list of servers is not known yet\r\n"
        return b"+PONG\r\n" if self.serving else b"-DRAINING clients are served elsewhere\r\n"

    def admit(self, action: api.SetServing) -> None:
        """Tell the front whether to send clients, and close connections that are not used for so long."""
        self.serving = action.serving
        self.linger_s = action.linger_ms / 1000.0
        if self.sweeper is None and self.linger_s < inf:
            self._sweep()

    def _sweep(self) -> None:
        """Close what has been idle for longer than is wanted; with a part of a command, at the last only."""
        self.sweeper = None
        if self.linger_s == inf:
            return
        before = self.loop.time() - self.linger_s
        for client in [c for c in self.connections if c.idle_since <= before]:
            if self.linger_s == 0.0 or not client.lengths.within():
                client.close_idle()
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def retell(self, settings: api.Settings, most_connections: int) -> None:
        """Go by these settings from now on; beyond the limit idle connections go, the longest idle first.

        One with something in hand goes once it has been answered.
        """
        self.commands = Commands(settings)
        self.most_connections = most_connections
        for client in list(self.connections):
            if not self.beyond():
                break
            if client.idle():
                client.close()

    def unwanted(self) -> bool:
        """Whether a connection is closed as soon as nothing is owed on it."""
        return self.linger_s < inf or self.beyond()

    def beyond(self) -> bool:
        """Whether there are more connections than there may be."""
        return len(self.connections) + self.peer_connections > self.most_connections

    def opened(self, client: Client) -> None:
        """Count a new connection; beyond the limit an idle one goes, or else the new one.

        Guards against running out of descriptors, which would hit connections to servers too.
        """
        self.connections[client] = None
        if self.on_opened:
            self.on_opened(client)
        if not self.beyond():
            return
        idle = next((one for one in self.connections if one is not client and one.idle()), None)
        idle = idle or next(
            (one for one in self.connections if one is not client and not one.slots and not one.unread()),
            client,
        )
        if idle is client:
            client.refuse_for_want_of_room()
        idle.close()  # it counts no more: the next one must not count on the same place again
        while len(self.connections) + len(self.lingering) > self.most_connections + MOST_LINGERING:
            oldest = next(iter(self.lingering), None)
            if oldest is None or oldest.transport is None:
                break
            del self.lingering[oldest]
            oldest.transport.abort()

    def unsent(self, more: int) -> None:
        """Count answers that wait to be written; beyond the limit who holds most of them goes.

        Guards against clients that write many requests and read no answer: each holds a little, all hold
        more than there is.
        """
        self.unsent_bytes += more
        if more > 0 and self.unsent_bytes > MOST_UNSENT:
            most = max(self.connections, key=lambda client: client.unsent_bytes, default=None)
            if most and most.transport:
                most.transport.abort()

    def closed(self, client: Client) -> None:
        """A connection has ended, or is over but for what still comes on it."""
        self.connections.pop(client, None)
        if self.on_closed:
            self.on_closed(client)

    def stop_listening(self) -> None:
        """Accept no more than has come, and close each connection once nothing is owed on it."""
        if self.listener:
            if self.server:
                self._accept_rest(self.listener)
            self.listener.close()
            self.listener = None
        self.stop_accepting()
        self.leaving = True
        for client in list(self.connections):
            client.flush()
        self.loop.call_later(LATE_S, self._close_late)

    def _accept_rest(self, listener: socket.socket) -> None:
        """Take all that waits in the listener's queue: closing it would reset them, requests and all."""
        listener.setblocking(False)
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:  # there is none, or no descriptor for it
                return
            sock.setblocking(False)
            self.adopt(sock, False, 0.0)

    def _close_late(self) -> None:
        """Whoever has not sent a whole command by now finds it closed: it sends it elsewhere."""
        self.late = True
        for client in list(self.connections):
            client.flush()

    def over(self) -> bool:
        """Whether every connection that was accepted has ended."""
        return not (self.connections or self.lingering or self.adopting)

    def abort(self) -> None:
        """Close what is left, at the very end."""
        for client in [*self.connections, *self.lingering]:
            if client.transport:
                client.transport.abort()
