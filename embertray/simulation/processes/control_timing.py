"""The control plane's timings scaled by a factor, so that a test of many timeouts takes seconds."""

from dataclasses import fields, replace

from embertray.cluster.replication.timing import FeedSettings, ReplicaTiming, SubscriberTiming

SCALED_FEED_FIELDS = ("heartbeat_interval", "initial_retry_delay", "max_retry_delay", "silence_timeout")


def scaled_timings(scale, feed=None):
    """Returns (ReplicaTiming, FeedSettings, SubscriberTiming) with times scaled; rates and sizes stay."""
    return (
        _scaled(ReplicaTiming(), scale, [timing_field.name for timing_field in fields(ReplicaTiming)]),
        _scaled(feed or FeedSettings(), scale, SCALED_FEED_FIELDS),
        _scaled(SubscriberTiming(), scale, [timing_field.name for timing_field in fields(SubscriberTiming)]),
    )


def _scaled(timing, scale, names):
    return replace(timing, **{name: round(getattr(timing, name) * scale) for name in names})
