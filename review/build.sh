#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review, after the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j8 B=target target/camphorfall-gateway target/fake_platform > /dev/null
mkdir -p target/review
pkgs="glib-2.0 gio-2.0 libmicrohttpd libcurl libzmq jansson msgpack libsodium libxxhash ck"
flags="-std=gnu11 -g -O2 -Wall -Wextra -Isrc -I. -D_GNU_SOURCE $(pkg-config --cflags $pkgs)"
libs="-Ltarget -laux -lcamphorfall $(pkg-config --libs $pkgs) -largtable2 -lstdc++ -lpthread -lm"
for program in server removed_server crash_request; do
    sources=review/standin/$program.c
    [ $program = server ] || sources="$sources review/standin/deployment.c"
    gcc $flags $sources $libs -o target/review/$program
done
