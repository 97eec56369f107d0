#!/bin/sh
# Installs the Debian packages the build, the demo and the tests need,
# when run as root and any is missing.
PKGS="build-essential pkg-config libglib2.0-dev libmicrohttpd-dev
libjansson-dev libcurl4-openssl-dev libmsgpack-dev libck-dev libxxhash-dev
libgsl-dev libev-dev libhttp-parser-dev check clang-format clang-tidy curl file"
missing=""
for p in $PKGS; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q "ok installed" ||
		missing="$missing $p"
done
[ -z "$missing" ] && exit 0
if [ "$(id -u)" != 0 ]; then
	echo "install-deps: missing:$missing; run as root or install them" >&2
	exit 1
fi
apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing
