"""The control plane's times, shorter by a factor, so that a test of many timeouts takes seconds."""

from dataclasses import fields, replace

from embertray.cluster.replication.pace import FeedPace, ReplicaPace, SubscriberPace

FEED_TIMES = ("heartbeat", "retry_first", "retry_most", "silence")


def scaled_paces(scale, feed=None):
    """(ReplicaPace, FeedPace, SubscriberPace) with all times multiplied by `scale`; rates and sizes stay."""
    return (
        _scaled(ReplicaPace(), scale, [one.name for one in fields(ReplicaPace)]),
        _scaled(feed or FeedPace(), scale, FEED_TIMES),
        _scaled(SubscriberPace(), scale, [one.name for one in fields(SubscriberPace)]),
    )


def _scaled(pace, scale, names):
    return replace(pace, **{name: round(getattr(pace, name) * scale) for name in names})
