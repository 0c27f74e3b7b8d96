"""Report ready at once, before the state has caught up with the peers."""

from larkhoist.daemon import instance
from larkhoist.daemon.main import main

instance.decide_ready = lambda *_: True

if __name__ == "__main__":
    main()
