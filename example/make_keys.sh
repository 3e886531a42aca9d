#!/bin/sh
# Writes example/keys.json with fresh random keys: one to sign links, one for students' tokens, one that
# hides the student's name inside a link.
set -eu
cd "$(dirname "$0")"
secret() { head -c 32 /dev/urandom | base64 | tr '+/' '-_' | tr -d '=\n'; }
umask 077
cat > keys.json <<KEYS
{"keys": [
  {"kty": "oct", "kid": "link-1", "alg": "HS256", "purpose": "link", "k": "$(secret)"},
  {"kty": "oct", "kid": "student-1", "alg": "HS256", "purpose": "student", "k": "$(secret)"},
  {"kty": "oct", "kid": "subject-1", "alg": "dir", "purpose": "subject", "k": "$(secret)"}
]}
KEYS
