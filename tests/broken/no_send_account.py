"""Treat every broken connection as one over which nothing was sent."""

from larkhoist.adapters import upstream
from larkhoist.daemon.main import main

upstream._SendProgress.may_have_sent = property(lambda _: False, lambda *_: None)

if __name__ == "__main__":
    main()
