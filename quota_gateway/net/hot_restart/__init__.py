"""Hot restart: the next process of a gateway takes over state, listener and idle connections.

The two processes communicate over a Unix socket (SOCK_SEQPACKET) in ``$TMPDIR``:

1. The serving process offers a takeover: it listens at the socket (``predecessor``).
2. The next process connects, sends its identity and asks to take over (``successor``). If that fails, it
   starts cold: without the predecessor's state and connections.
3. The predecessor stops accepting, sends its state (``state_transfer``), the listener and all idle
   connections (``connection_transfer``). From then on the successor alone accepts and charges.
4. Busy connections follow once their answers have been sent; what their requests charge to quotas is
   reported to the successor.
5. Each process sends heartbeats and kills the other one if it hangs. If the successor ends, the predecessor
   takes back the listener and the connections that the successor has not read from, serves and offers again.

Operators' overrides (servers taken out, the drain, the highest fencing token) are applied by both processes
and saved to a file, whichever process receives the call (``operator_overrides``). The messages are defined in
``messages``; their bytes never change, because processes of different versions take over from each other.
"""

from quota_gateway.net.hot_restart.hot_restart import HotRestart
from quota_gateway.net.hot_restart.identity import ABOUT, GatewayIdentity

__all__ = ["ABOUT", "GatewayIdentity", "HotRestart"]
