"""Connection failover: client connections that stay open when the gateway process that serves them dies.

The package contains the supervisor, the record in shared memory that a process writes before each effect,
the claim that decides which process may use the record next, and a model that checks this protocol. Optional
and off unless configured; docs/design.md says which parts of the design are implemented.
"""
