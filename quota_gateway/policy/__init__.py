"""Every decision of a gateway, a module each; ``gateway`` on top. No sockets, and no clock of its own."""
