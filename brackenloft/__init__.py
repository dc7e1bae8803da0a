"""Earlier name of ``quota_gateway``: a command that names it goes on working. Holds no code of its own."""
