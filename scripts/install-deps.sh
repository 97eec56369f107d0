#!/bin/sh
# Installs the Debian packages that the build, the demos and the tests need if
# one is missing.  Must run as root in that case.
PACKAGES="build-essential pkg-config libglib2.0-dev libmicrohttpd-dev
libjansson-dev libcurl4-openssl-dev libmsgpack-dev libck-dev libxxhash-dev
libgsl-dev libev-dev libhttp-parser-dev check clang-format clang-tidy curl file"
missing=""
for p in $PACKAGES; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q "ok installed" ||
		missing="$missing $p"
done
[ -z "$missing" ] && exit 0
if [ "$(id -u)" != 0 ]; then
	echo "install-deps: missing:$missing; run as root or install them" >&2
	exit 1
fi
apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing
