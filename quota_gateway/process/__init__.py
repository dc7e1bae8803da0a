"""Life of one gateway process: its parts are built, take over from the one before, serve and shut down."""
