"""A cold server gets no more than its bound, for any number of instances."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ibisfront.gateway.load.cold_start_limit import cold_share

bounds_per_s = st.floats(0.0, 500.0)
instance_counts = st.integers(1, 300)


class ColdShareTest(unittest.TestCase):
    """Shares of a cold server's bound."""

    @settings(deadline=None)
    @given(bounds_per_s, instance_counts)
    def test_shares_add_up_to_no_more_than_the_bound(self, bound_per_s, count):
        """Guards against a cold server overloaded by all instances together."""
        senders = [f"i{number}" for number in range(count)]
        shares = [
            cold_share("s", own_name=own, senders=senders, bound_per_s=bound_per_s)
            for own in senders
        ]
        self.assertLessEqual(sum(shares), bound_per_s)
        if bound_per_s >= 2.0:
            self.assertGreaterEqual(sum(shares), 1)

    @settings(deadline=None)
    @given(bounds_per_s, instance_counts)
    def test_instance_that_is_no_sender_has_no_share(self, bound_per_s, count):
        """Guards against requests in excess of the shares of the bound."""
        senders = [f"i{number}" for number in range(count)]
        share = cold_share(
            "s", own_name="other", senders=senders, bound_per_s=bound_per_s
        )
        self.assertEqual(share, 0)
