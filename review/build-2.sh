#!/bin/bash
# Builds the stand-ins of the second review, after the build of the deploy
# file: target/review-2/cases.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
# shellcheck disable=SC2046
gcc -std=gnu11 -Wall -Wextra -O2 -pthread review/standin-2/*.c \
    -o target/review-2/cases $(pkg-config --cflags --libs jansson)
