# setup, build, test, lint, run: the everyday commands. On a fresh machine `make setup run` serves the example
# and `make setup test` passes the tests.
JOBS ?= $(shell nproc)
CONFIG ?= example/config.json

.PHONY: setup build test lint run clean

setup:
	deploy/packages.sh

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j$(JOBS)

test:
	cmake -B build-test -DSUMACKEEL_TESTS=ON -DCMAKE_BUILD_TYPE=Debug
	cmake --build build-test -j$(JOBS)
	red=$$(tests/known_red.sh .) && \
	ctest --test-dir build-test --output-on-failure -LE '^(fleet|waits)$$' -E "$$red" -j 3 && \
	ctest --test-dir build-test --output-on-failure -L '^waits$$' -E "$$red" -j 3 && \
	ctest --test-dir build-test --output-on-failure -L '^fleet$$' -E "$$red" -j 3

# clang-format, clang-tidy (.clang-tidy), layering, sizes and withdrawn words.
lint:
	clang-format --dry-run -Werror $$(git ls-files '*.cpp' '*.h')
	tests/layout/module_size.sh .
	tests/layout/floors.sh .
	tests/layout/withdrawn_words.py .
	cmake -B build-lint -DCMAKE_BUILD_TYPE=Release > /dev/null
	tests/layout/clang_tidy.sh build-lint

run: build
	GW_CONFIG=$(CONFIG) build/sumackeel

clean:
	cmake -E rm -rf build build-test build-lint build-bench
