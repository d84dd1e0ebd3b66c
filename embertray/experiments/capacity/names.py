"""The terms of a capacity table: roles, parts, situations, quantities, readings, verdicts."""

from enum import StrEnum


class Role(StrEnum):
    """What a machine of the fleet does."""

    CONTROLLER = "controller"
    REPLICA = "control machine"
    PROXY = "proxy"
    BACKEND = "backend"
    DISCOVERY = "discovery"


class Part(StrEnum):
    """What part of a role's work a cost belongs to."""

    DECISIONS = "decisions"
    STREAMS = "proxies' streams"
    REPORTS = "reports in"
    LIST = "list in"
    CONFIGURATION = "configuration in"
    MEMBERSHIP = "membership and shared state"
    LIMITS = "limits"
    BASE = "the process itself"
    REPLICATION = "replicas"
    PICK = "pick"
    FIRST_TABLE = "first table"
    PROBES = "probes"
    ANSWERS = "list out"
    WHOLE = "whole role"


class Situation(StrEnum):
    """The load or failure under which a cost arises."""

    CALM = "calm"
    PEAK = "peak"
    MACHINE = "a machine fails"
    RACK = "a rack or switch fails"
    ZONE = "a zone fails"
    APART = "regions apart for an hour"
    CATCH_UP = "catch-up after it"
    ALL_START = "all controllers start at once"
    RESTARTS_SPREAD = "restarts spread over the day"
    RESTARTS_BUNCHED = "restarts bunched"


class Quantity(StrEnum):
    """What is measured or limited."""

    PROCESSOR = "processor"
    MEMORY = "memory"
    STATE = "state held"
    BYTES_IN = "bytes in"
    BYTES_OUT = "bytes out"
    MESSAGES_IN = "messages in"
    MESSAGES_OUT = "messages out"
    IN_FORCE = "until in force"
    OLDEST = "oldest entry held"
    STALENESS = "staleness promised"
    ADDED = "added to a request"
    DELAY = "delay"
    SEEN = "members seen"


UNITS = {
    Quantity.PROCESSOR: "cores",
    Quantity.MEMORY: "bytes",
    Quantity.STATE: "bytes",
    Quantity.BYTES_IN: "bytes/s",
    Quantity.BYTES_OUT: "bytes/s",
    Quantity.MESSAGES_IN: "messages/s",
    Quantity.MESSAGES_OUT: "messages/s",
    Quantity.IN_FORCE: "s",
    Quantity.OLDEST: "s",
    Quantity.STALENESS: "s",
    Quantity.ADDED: "s",
    Quantity.DELAY: "s",
    Quantity.SEEN: "members",
}


class Reading(StrEnum):
    """The two ways to interpret a budget 'for control'."""

    CLUSTER = "cluster traffic alone"
    ALL = "decisions and reports too"


class Design(StrEnum):
    """How configuration, state and limits reach the controllers."""

    GOSSIP = "full gossip (in service today)"
    REPLICAS = "replicas and subscribers"


class Origin(StrEnum):
    """Where a figure comes from."""

    MEASURED = "measured at this size"
    PREDICTED = "predicted by the slope"
    GUESS = "a guess: no held-out size"
    REPORTED = "reported, not measured again"
    CALCULATED = "reckoned"
    UNKNOWN = "not known"
    NO_MECHANISM = "no mechanism"


class Verdict(StrEnum):
    """How a figure compares with its budget."""

    FITS = "fits"
    SHORT = "falls short"
    UNKNOWN = "not known"
    NO_MECHANISM = "no mechanism"
    NO_BUDGET = "no budget named"
