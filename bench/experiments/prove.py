"""Searches generated histories for as long as told, from a printed seed."""

from __future__ import annotations

import secrets
import subprocess
import sys
import time

TESTS = "tests/proof/test_histories.py"
SEED_BITS = 31


def main(*, seconds: float, seed: int | None) -> int:
    """Runs rounds of the generated histories, a new seed for each.

    A round always ends whole, so the same first seed gives the same rounds.

    Returns:
      0 when no round found a violation, else 1.
    """
    first = secrets.randbits(SEED_BITS) if seed is None else seed
    end = time.monotonic() + seconds
    rounds = 0
    while rounds == 0 or time.monotonic() < end:
        present = first + rounds
        print(f"round {rounds + 1}: seed {present}", flush=True)
        done = subprocess.run(
            [
                sys.executable, "-m", "pytest", "-x", "--show-capture=no",
                "--hypothesis-profile=prove",
                f"--hypothesis-seed={present}", TESTS,
            ],
            check=False,
        )  # fmt: skip
        if done.returncode != 0:
            print(f"failed; replay: make prove SECONDS=0 SEED={present}")
            return 1
        rounds += 1
    print(f"{rounds} rounds passed, 0 failed, from seed {first}")
    return 0
