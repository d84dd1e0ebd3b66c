"""Random numbers: a seeded generator for each purpose, so that a change to one does not affect the others."""

import zlib

import numpy as np


class RandomStreams:
    """Creates generators that depend on the seed and their purpose only.

    Args:
        seed: An integer.
    """

    def __init__(self, seed):
        self.seed = seed

    def of(self, *purpose):
        """Returns a new generator; the same purpose gives the same numbers, as in `of("clients", 3)`."""
        return np.random.default_rng([self.seed, zlib.crc32(repr(purpose).encode())])
