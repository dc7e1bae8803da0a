"""``python -m brackenloft``: the command by which earlier versions' plans and platforms start the gateway."""

import sys

from quota_gateway.__main__ import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
