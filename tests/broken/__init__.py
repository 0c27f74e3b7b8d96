"""Run the daemon with one mechanism off, to see that its proof can fail.

These switches are in the tests only; the product has none.
"""
