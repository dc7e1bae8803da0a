"""Hot restart: the next process of a gateway takes over state, listener and idle connections.

Both processes meet at a Unix socket (SOCK_SEQPACKET) in ``$TMPDIR``:

1. The serving process offers: it listens at the socket (``predecessor``).
2. The next one connects, greets and asks to take over (``successor``).
3. The predecessor stops accepting, sends its state (``state_transfer``), the listener and all idle
   connections (``connection_transfer``). From then on the successor alone accepts and charges.
4. Busy connections follow as their answers go out; what they charge is reported to the successor.
5. Each process sends heartbeats and ends the other one if it hangs. If the successor ends, the predecessor
   takes back listener and untouched connections, serves and offers again.

What operators wish reaches both processes and a file, whichever one they call (``operator_wishes``). The
messages and their bytes are in ``messages``; they never change, as versions take over from each other.
"""

from quota_gateway.net.hot_restart.hot_restart import HotRestart
from quota_gateway.net.hot_restart.identity import ABOUT, GatewayIdentity

__all__ = ["ABOUT", "GatewayIdentity", "HotRestart"]
