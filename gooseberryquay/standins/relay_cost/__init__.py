"""Measure what an entry spends on each token that it passes on."""
