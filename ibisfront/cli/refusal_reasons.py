"""What the reasons of refusals mean, each in one sentence."""

from __future__ import annotations

from ibisfront.gateway.workspaces.authentication import KeyRefusal

__all__ = ["explain_reason"]

_SENTENCES: dict[str, str] = {
    KeyRefusal.NO_KEY: (
        "The request carried no key, and its route is not public; it did not run."
    ),
    KeyRefusal.SEVERAL_KEYS: (
        "The request carried more than one key, so that its workspace is unclear; it"
        " did not run."
    ),
    KeyRefusal.UNKNOWN_KEY: (
        "No workspace of the configuration version in force has the key; it was"
        " mistyped, revoked, or never added."
    ),
    KeyRefusal.NOT_KNOWN_YET: (
        "This instance does not know the key, but did not have the newest configuration"
        " either; another instance may serve the same request."
    ),
    "over_quota": (
        "The workspace has used up its limit over all instances, or the part of it that"
        " was in reach; the request did not run and may be sent again."
    ),
    "owner_silent": (
        "Instances that own parts of the workspace's limit did not answer, and the"
        " others had nothing left; the request did not run and may be sent again."
    ),
    "no_quota_owner": (
        "This instance has just started and does not know yet which instances own the"
        " workspace's limit; the request did not run and may be sent again."
    ),
    "workspace_changed": (
        "The key moved to another workspace while the request waited; it did not run"
        " and may be sent again."
    ),
    "other_workspaces": (
        "Another instance delegated a query of a workspace that the configuration here"
        " does not have; the query went on to another coordinator."
    ),
}


def explain_reason(reason: str) -> str | None:
    """Return what a reason means; None if it needs no more words."""
    return _SENTENCES.get(reason)
