"""Explores the states that a small model built of real protocol cores can reach."""

from collections import deque


class PropertyViolationError(AssertionError):
    """Raised for a state that violates the property; `path` holds the moves that lead to it."""

    def __init__(self, what, path):
        super().__init__(f"{what}, after {len(path)} moves: " + "; ".join(path))
        self.path = path


def clone(core, fresh=("here", "acted", "away", "asks", "listed", "granted", "wants", "heard", "voices")):
    """Returns a copy of a core that can be changed without changing the original.

    The attributes named in `fresh` are copied; of the dicts `may` and `sent` the inner containers are
    copied too. All other attributes are shared with the original.
    """
    copy = object.__new__(type(core))
    for name, value in core.__dict__.items():
        if name in fresh:
            value = value.copy()
        elif name in ("may", "sent"):
            value = {key: inner.copy() for key, inner in value.items()}
        copy.__dict__[name] = value
    return copy


def explore(start, max_states):
    """Explores all reachable states, breadth first, up to `max_states` states.

    `start` has `moves()` -> [(text, method name, *args)], `copy()`, `violation()` -> the violation or "", and
    `key()` -> a hashable value equal for equal states. Returns (number of states, whether all were
    explored). Raises PropertyViolationError at the first violation.
    """
    seen, queue = {start.key()}, deque([(start, None, "")])
    while queue:
        node = queue.popleft()
        for text, name, *args in node[0].moves():
            state = node[0].copy()
            getattr(state, name)(*args)
            key = state.key()
            if key in seen:
                continue
            seen.add(key)
            if what := state.violation():
                path, ancestor = [text], node
                while ancestor[1] is not None:
                    path.append(ancestor[2])
                    ancestor = ancestor[1]
                raise PropertyViolationError(what, path[::-1])
            if len(seen) >= max_states:
                return len(seen), False
            queue.append((state, node, text))
    return len(seen), True


def random_walks(start, walks, length, rng):
    """Takes random walks of at most `length` moves, for models with too many states to explore.

    Returns the number of moves made. Raises PropertyViolationError at the first violation.
    """
    move_count = 0
    for _ in range(walks):
        state, path = start.copy(), []
        for _ in range(length):
            moves = state.moves()
            if not moves:
                break
            text, name, *args = rng.choice(moves)
            getattr(state, name)(*args)
            path.append(text)
            move_count += 1
            if what := state.violation():
                raise PropertyViolationError(what, path)
    return move_count
