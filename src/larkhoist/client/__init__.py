"""The command-line client for operators."""
