"""The domain: the things that the tier is about, without the outside."""
