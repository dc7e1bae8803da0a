"""The connections, listener and record of a process that died, as the supervisor passes them on."""

from __future__ import annotations

import logging
import socket
import struct
from contextlib import suppress

from quota_gateway.failover.connection_record import ConnectionRecord, ConnectionRecordError
from quota_gateway.failover.connection_row import ConnectionRow
from quota_gateway.net.tcp_info import bytes_consumed, bytes_written

log = logging.getLogger(__name__)

MAX_READS = 3  # of both byte counts; an acknowledgement may arrive between the reads of the two


class InheritedConnections:
    """Descriptors and rows of a dead process. Owns the descriptors until they are adopted or closed."""

    def __init__(self) -> None:
        self.rows: dict[int, ConnectionRow] = {}  # by ConnectionRow.number
        self.descriptors: dict[int, int] = {}  # by ConnectionRow.number
        self.listener: socket.socket | None = None

    def read_record(self, descriptor: int) -> None:
        """Take over the rows of a record. Without a valid record, no connection can be adopted."""
        try:
            record = ConnectionRecord.open(descriptor)
        except (ConnectionRecordError, OSError, ValueError) as error:
            log.error(
                "can't read the dead process's connection record, so its connections are closed: %r", error
            )
            return
        if not record.claim():
            log.error(
                "another process holds the dead process's connection record; its connections are closed"
            )
            return
        try:
            rows = [ConnectionRow.decode(body) for body in record.read_rows().values()]
        except struct.error as error:  # rows of another version
            log.error(
                "can't read the dead process's connection record, so its connections are closed: %r", error
            )
            return
        self.rows = {row.number: row for row in rows}
        record.close()

    def is_at_rest(self, number: int) -> bool:
        """Whether nothing has been read or written on a connection since it was last at rest."""
        row = self.rows.get(number)
        if row is None:
            return False
        descriptor = self.descriptors[number]
        for _ in range(MAX_READS):
            with suppress(OSError):
                counts = (bytes_consumed(descriptor), bytes_written(descriptor))
                if counts == (row.read_bytes, row.written_bytes):
                    return True
        return False
