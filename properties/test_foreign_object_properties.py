"""Properties of the store's answers with arbitrary content of another writer."""

from __future__ import annotations

import json
import logging
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisfront.gateway.state.store_answers import decode_leniently
from ibisfront.platform.documents import server_entry_from
from ibisfront.platform.store import OBJECT_START, StoreAnswer
from ibisfront.tests.test_platform_documents import VALID


def nested(opening, closing, depth):
    """Return a container of containers."""
    return opening * depth + b"1" + closing * depth


VALUES = st.one_of(
    st.binary(max_size=30),
    st.text(alphabet='"\\[]{},:0e\x00\ud800n', max_size=20).map(
        lambda text: text.encode("utf-8", "surrogatepass")
    ),
    st.builds(nested, st.just(b"["), st.just(b"]"), st.integers(1, 4000)),
    st.builds(nested, st.just(b'{"a":'), st.just(b"}"), st.integers(1, 4000)),
    st.integers(1, 6000).map(lambda digits: b"9" * digits),
    st.sampled_from((b"1e400", b"-1e400", b"NaN", b"-Infinity", b'"\\ud800"')),
)
CONTENTS = st.one_of(
    VALUES,
    st.builds(
        lambda field, value: b'{"%b": %b, "%b": 1}' % (field, value, field),
        st.sampled_from([field.encode() for field in VALID]),
        VALUES,
    ),
)


def decode_answer(raw):
    """Decode an answer of the store."""
    return decode_leniently(raw, StoreAnswer, OBJECT_START)


def object_of(name, content):
    """Return an object as the store sends it."""
    meta = json.dumps({"name": name, "rev": 3, "finalizers": []}).encode()
    return b'{"meta": %b, "spec": %b, "status": null}' % (meta, content)


class ForeignObjectProperties(unittest.TestCase):
    """What one writer puts does not change what is read of the others."""

    def setUp(self):
        # Hypothesis generates thousands of malformed objects, and each is logged.
        log = logging.getLogger("ibisfront")
        self.addCleanup(log.setLevel, log.level)
        log.setLevel(logging.CRITICAL)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(CONTENTS, st.booleans())
    def test_sound_entries_are_read_beside_any_content(self, content, is_watch):
        """Guards against one entry that hides all servers or ends the process."""
        sound = json.dumps(VALID).encode()
        contents = {"a": sound, "foreign": content, "z": sound}
        objects = [object_of(name, item) for name, item in contents.items()]
        if is_watch:
            events = b", ".join(
                b'{"object": %b, "deleted": false}' % o for o in objects
            )
            answer = decode_answer(b'{"events": [%b], "currentRev": 9}' % events)
            read = [event.object for event in answer.events]
        else:
            items = b", ".join(objects)
            page = decode_answer(
                b'{"items": [%b], "more": false, "currentRev": 9}' % items
            )
            self.assertFalse(page.more)
            read, answer = page.items, page
        self.assertEqual(answer.current_rev, 9)
        specs = {item.meta.name: bytes(item.spec) for item in read}
        self.assertEqual((specs["a"], specs["z"]), (sound, sound))
        self.assertEqual(specs.keys() - contents.keys(), set())

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(CONTENTS)
    def test_any_entry_is_decoded_or_rejected(self, content):
        """Guards against an error that no caller of the decoder expects."""
        try:
            server_entry_from("foreign", content)
        except msgspec.DecodeError:
            return
