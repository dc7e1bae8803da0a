"""Earlier name of ``quota_gateway``, kept so that commands that use it still work; has no code of its own."""
