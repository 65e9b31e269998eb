"""Entry point of `python -m currantcart`."""

from __future__ import annotations

from currantcart import run

if __name__ == "__main__":
    run.run()
