"""Seeds of tests."""

import os
import random


def choose_seed(name: str = '') -> int:
    """Return the seed of a test and print it; TEST_SEED sets it."""
    seed = int(os.environ.get('TEST_SEED') or random.randrange(10**6))
    print(f'{name} TEST_SEED={seed}'.lstrip())
    return seed


def make_random(name: str = '') -> random.Random:
    """Return a generator with a seed that is printed."""
    return random.Random(choose_seed(name))
