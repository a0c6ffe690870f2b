"""Random seeds of tests."""

import os
import random


def choose_seed(name: str = '') -> int:
    """Return and print the seed of a test, which TEST_SEED overrides."""
    seed = int(os.environ.get('TEST_SEED') or random.randrange(10**6))
    print(f'{name} TEST_SEED={seed}'.lstrip())
    return seed


def make_random(name: str = '') -> random.Random:
    """Return a random generator whose seed is printed."""
    return random.Random(choose_seed(name))
