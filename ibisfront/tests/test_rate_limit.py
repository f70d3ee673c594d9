"""Tests of the token bucket."""

from __future__ import annotations

import math
import unittest

from ibisfront.core.rate_limit import TokenBucket


class TokenBucketTest(unittest.TestCase):
    """A changing rate yields no second burst."""

    def test_it_starts_its_rate_plus_one_burst(self):
        bucket = TokenBucket()
        bucket.set_rate(10.0, now_ms=0.0)
        started = sum(bucket.take(now_ms=float(now)) for now in range(10_000))
        self.assertAlmostEqual(started, 100 + 1, delta=1)

    def test_an_alternating_share_yields_one_burst_only(self):
        bucket = TokenBucket()
        started = 0
        for now in range(0, 1_000, 10):
            bucket.set_rate(10.0 if now % 20 else 0.0, now_ms=float(now))
            started += bucket.take(now_ms=float(now))
        self.assertLessEqual(started, 5 + 1)

    def test_without_a_rate_nothing_starts(self):
        bucket = TokenBucket()
        bucket.set_rate(0.0, now_ms=0.0)
        self.assertFalse(bucket.take(now_ms=1e6))
        self.assertEqual(bucket.wait_ms(), math.inf)
