"""Searches generated histories for violations, for a given time.

Prints the seed of each round, so that a failure can be replayed.
"""

from __future__ import annotations

import secrets
import subprocess
import sys
import time

TESTS = "tests/proof/test_histories.py"
SEED_BITS = 31


def main(*, seconds: float, seed: int | None) -> int:
    """Runs rounds of generated histories, each with a new seed.

    A round that has begun is always completed, so the same first seed gives the
    same rounds.

    Args:
      seconds: Time after which no further round begins; one always runs.
      seed: Seed of the first round; None draws one at random.

    Returns:
      0 if no round found a violation, else 1.
    """
    first = secrets.randbits(SEED_BITS) if seed is None else seed
    end = time.monotonic() + seconds
    rounds = 0
    while rounds == 0 or time.monotonic() < end:
        round_seed = first + rounds
        print(f"round {rounds + 1}: seed {round_seed}", flush=True)
        completed = subprocess.run(
            [
                sys.executable, "-m", "pytest", "-x", "--show-capture=no",
                "--hypothesis-profile=prove",
                f"--hypothesis-seed={round_seed}", TESTS,
            ],
            check=False,
        )  # fmt: skip
        if completed.returncode != 0:
            print(f"failed; replay: make prove SECONDS=0 SEED={round_seed}")
            return 1
        rounds += 1
    print(f"{rounds} rounds passed, 0 failed, from seed {first}")
    return 0
