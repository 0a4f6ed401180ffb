"""Upstream selection, membership of entries, and admission and retry control."""
