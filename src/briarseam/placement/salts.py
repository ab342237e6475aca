"""Salts of cached parts: model, weight version, and who shares them."""

from __future__ import annotations

import dataclasses
import string
import urllib.parse

# Of versions, which are below 2**53 as in messages between instances, and
# of numbers of organisations.
MAX_DIGITS = 16
# Begins what can't be the name of an organisation, in which it is escaped.
MARK = "*"
WITHOUT_KEY = f"{MARK}{MARK}"
# Printable characters that are not escaped.  Spaces are: whoever reads a
# header drops those at its ends, and two salts would become one.
LITERAL = "".join(sorted({*string.punctuation} - {"%", MARK}))
LITERAL_IN_NAMES = LITERAL.replace("/", "")


@dataclasses.dataclass(frozen=True)
class Own:
    """Parts that only one organisation uses.

    Attributes
    ----------
    organisation
        Its name; ``None`` for all callers without a key.
    """

    organisation: str | None

    def __str__(self) -> str:
        """Return the encoded form; never empty, and without a slash."""
        if self.organisation is None:
            return WITHOUT_KEY
        return quote(self.organisation, LITERAL_IN_NAMES) or MARK


@dataclasses.dataclass(frozen=True)
class Group:
    """Parts that all organisations share, but for some.

    Organisations that are kept out have never had such parts computed, so
    two groups must not have the same name unless they keep out the same ones.

    Attributes
    ----------
    excluded
        Number of organisations that are kept out.
    digest
        Digest of their names; empty if there is none.
    """

    excluded: int = 0
    digest: str = ""

    def __str__(self) -> str:
        """Return the encoded form; empty if nobody is kept out."""
        if not self.excluded:
            return ""
        return f"{MARK}{self.excluded}-{self.digest}"


Scope = Own | Group
EVERYBODY = Group()


@dataclasses.dataclass(frozen=True)
class Salt:
    """Values that requests must have in common to share cached parts.

    Parts of an isolated organisation must not be used by another one, and
    parts computed with other weights must not be used at all.

    Attributes
    ----------
    model, version
        Model and weight version that computed the parts.
    scope
        Who uses the parts.
    """

    model: str
    version: int
    scope: Scope = EVERYBODY

    def __str__(self) -> str:
        """Return the encoded form that is sent to endpoints and stores."""
        model = quote(self.model, LITERAL)
        return f"{model}/{self.version}/{self.scope}"


def quote(name: str, literal: str) -> str:
    """Return a name with all other characters than letters escaped."""
    return urllib.parse.quote(name, literal, errors="surrogatepass")


def unquote(text: str) -> str:
    """Return the name that a text was made from; the text if it was not."""
    try:
        return urllib.parse.unquote(text, errors="surrogatepass")
    except UnicodeDecodeError:
        return text


def parse(text: str) -> Salt | None:
    """Parse an encoded salt; return ``None`` for another writer's text."""
    model, _, rest = text.rpartition("/")
    model, slash, version = model.rpartition("/")
    if not slash or not is_number(version):
        return None
    salt = Salt(unquote(model), int(version), parse_scope(rest))
    # Other writers may use salts of another form, which look like these.
    return salt if str(salt) == text else None


def parse_scope(text: str) -> Scope:
    """Return the scope that a text stands for, if it stands for one."""
    if not text:
        return EVERYBODY
    if text == MARK:
        return Own("")
    if text == WITHOUT_KEY:
        return Own(None)
    if not text.startswith(MARK):
        return Own(unquote(text))
    excluded, _, digest = text.removeprefix(MARK).partition("-")
    return Group(int(excluded) if is_number(excluded) else 0, digest)


def is_number(text: str) -> bool:
    """Return whether a text is a number of bounded length.

    ``int`` rejects some non-ASCII digits, and numbers of thousands of
    digits.
    """
    if len(text) > MAX_DIGITS:
        return False
    return text.isascii() and text.isdigit()
