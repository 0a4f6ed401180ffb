"""Processes and experiments that prove and measure postings."""
