"""The control plane's times, shorter by a factor, so that a test of many timeouts takes seconds."""

from dataclasses import fields, replace

from embertray.cluster.replication.timing import FeedSettings, ReplicaTiming, SubscriberTiming

FEED_TIMES = ("heartbeat_interval", "initial_retry_delay", "max_retry_delay", "silence_timeout")


def scaled_paces(scale, feed=None):
    """(ReplicaTiming, FeedSettings, SubscriberTiming): times multiplied by `scale`; rates and sizes stay."""
    return (
        _scaled(ReplicaTiming(), scale, [one.name for one in fields(ReplicaTiming)]),
        _scaled(feed or FeedSettings(), scale, FEED_TIMES),
        _scaled(SubscriberTiming(), scale, [one.name for one in fields(SubscriberTiming)]),
    )


def _scaled(pace, scale, names):
    return replace(pace, **{name: round(getattr(pace, name) * scale) for name in names})
