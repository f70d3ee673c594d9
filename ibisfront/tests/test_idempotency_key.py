"""Tests of idempotency keys."""

from __future__ import annotations

import unittest

from ibisfront.core.errors import ErrorKind, IbisfrontError, Ran
from ibisfront.core.idempotency_key import (
    KEY_LIFETIME_MS,
    MAXIMUM_KEY_SKEW_MS,
    check_key_time,
    make_key,
    parse_key,
)

WALL_MS = 1_764_700_000_000


class IdempotencyKeyTest(unittest.TestCase):
    """Keys are UUIDs of version 7 within a time window."""

    def test_a_parsed_key_has_the_timestamp_it_was_made_with(self):
        key = parse_key(make_key(wall_ms=WALL_MS, random_bits=(1 << 74) - 1).upper())
        self.assertEqual(key.time_ms, WALL_MS)
        self.assertEqual(key.text, key.text.lower())

    def test_other_texts_are_rejected(self):
        texts = (
            "",
            "order-17",
            "0196f0c2-7d1e-4abc-8def-001122334455",  # version 4
            "{0196f0c2-7d1e-7abc-8def-001122334455}",
            "0196f0c2-7d1e-7abc-0def-001122334455",  # another variant
        )
        for text in texts:
            with self.subTest(text), self.assertRaises(IbisfrontError) as caught:
                parse_key(text)
            self.assertEqual(caught.exception.kind, ErrorKind.KEY_INVALID)

    def test_a_key_outside_the_time_window_is_rejected(self):
        key = parse_key(make_key(wall_ms=WALL_MS, random_bits=7))
        check_key_time(key, wall_ms=WALL_MS + KEY_LIFETIME_MS)
        check_key_time(key, wall_ms=WALL_MS - MAXIMUM_KEY_SKEW_MS)
        with self.assertRaises(IbisfrontError) as caught:
            check_key_time(key, wall_ms=WALL_MS - MAXIMUM_KEY_SKEW_MS - 1)
        self.assertEqual(caught.exception.kind, ErrorKind.KEY_INVALID)

    def test_an_expired_key_is_never_called_not_run(self):
        """A caller that gets "not run" for an expired key prints twice.

        After a "maybe" it sends the same key again two hours later, gets "not
        run" and sends the work under a new key: two envelopes. The ledger no
        longer stores that the first copy ran.
        """
        key = parse_key(make_key(wall_ms=WALL_MS, random_bits=7))
        with self.assertRaises(IbisfrontError) as caught:
            check_key_time(key, wall_ms=WALL_MS + KEY_LIFETIME_MS + 1)
        self.assertEqual(caught.exception.kind, ErrorKind.KEY_EXPIRED)
        self.assertEqual(caught.exception.ran, Ran.MAYBE)
