"""``python -m shallotgate.daemon``."""

from shallotgate.daemon import main

if __name__ == '__main__':
    main()
