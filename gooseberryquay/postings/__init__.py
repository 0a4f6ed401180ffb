"""At-most-once execution of operations that carry an idempotency key."""

from gooseberryquay.contracts.posting_settings import PostingSettings
from gooseberryquay.postings.posting import Posting
from gooseberryquay.postings.posting_desk import PostingDesk

__all__ = ["Posting", "PostingDesk", "PostingSettings"]
