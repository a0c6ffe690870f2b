"""Small differences between two versions of a large document."""

from shallotgate.document_differences._application import apply_difference
from shallotgate.document_differences._comparison import make_difference

__all__ = ('apply_difference', 'make_difference')
