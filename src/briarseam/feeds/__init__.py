"""Following what others write on the platform's store."""
