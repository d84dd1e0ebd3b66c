"""Every state that a small machine of true cores can come to, breadth first."""

from collections import deque


class Found(AssertionError):
    """A state that breaks the property; `path` of moves that leads to it."""

    def __init__(self, what, path):
        super().__init__(f"{what}, after {len(path)} moves: " + "; ".join(path))
        self.path = path


def clone(thing, fresh=("here", "acted", "away", "asks", "listed", "granted", "wants", "heard", "voices")):
    """A copy of a core whose containers hold what never changes; those named in `fresh` are copied, dicts of
    dicts two deep.
    """
    copy = object.__new__(type(thing))
    for name, value in thing.__dict__.items():
        if name in fresh:
            value = value.copy()
        elif name in ("may", "sent"):
            value = {key: inner.copy() for key, inner in value.items()}
        copy.__dict__[name] = value
    return copy


def explore(start, most):
    """`start`: an object with `moves()` -> [(text, function name, *args)], `copy()`, `wrong()` -> text or "",
    `key()` -> hashable. Gives (states, whether all were looked at). Raises Found."""
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
            if what := state.wrong():
                path, at = [text], node
                while at[1] is not None:
                    path.append(at[2])
                    at = at[1]
                raise Found(what, path[::-1])
            if len(seen) >= most:
                return len(seen), False
            queue.append((state, node, text))
    return len(seen), True


def walk(start, walks, length, chance):
    """Paths drawn by `chance`, where all states are too many: how many moves were made. Raises Found."""
    made = 0
    for _ in range(walks):
        state, path = start.copy(), []
        for _ in range(length):
            moves = state.moves()
            if not moves:
                break
            text, name, *args = chance.choice(moves)
            getattr(state, name)(*args)
            path.append(text)
            made += 1
            if what := state.wrong():
                raise Found(what, path)
    return made
