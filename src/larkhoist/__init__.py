"""Schedule multi-accelerator jobs and small requests under customer guarantees."""

__all__ = ["__version__"]

__version__ = "0.1.0"
