# build, test, lint, run: the everyday commands.
JOBS ?= 4
CONFIG ?= example/config.json

.PHONY: build test lint run clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j$(JOBS)

test:
	cmake -B build-test -DNETTLETHREAD_TESTS=ON -DCMAKE_BUILD_TYPE=Debug
	cmake --build build-test -j$(JOBS)
	ctest --test-dir build-test --output-on-failure

lint:
	clang-format --dry-run -Werror $$(git ls-files 'src/*.cpp' 'src/*.h' 'include/*.h' 'tests/*.cpp' 'tests/*.h')
	tests/module_size.sh .

run: build
	GW_CONFIG=$(CONFIG) build/sumackeel

clean:
	cmake -E rm -rf build build-test
