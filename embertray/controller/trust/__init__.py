"""What a list is worth: by its age at the start, by what answers, and against what discovery says when it is
back.
"""

from .trust import Trust

__all__ = ["Trust"]
