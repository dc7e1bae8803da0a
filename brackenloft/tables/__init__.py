"""What the decisions keep their figures in: rows, tables, fading, timers, counts. Decides nothing."""

from brackenloft.tables.context import Context
from brackenloft.tables.epochs import Epochs
from brackenloft.tables.estimates import Latencies, Reports, Shares
from brackenloft.tables.fleet import Fleet, Group
from brackenloft.tables.hand import Hand
from brackenloft.tables.rows import Customer, Flight, Key, Mark, Moment, Server
from brackenloft.tables.tally import Tally
from brackenloft.tables.views import Views

__all__ = ["Context", "Customer", "Epochs", "Fleet", "Flight", "Group", "Hand", "Key", "Latencies", "Mark",
           "Moment", "Reports", "Server", "Shares", "Tally", "Views"]
