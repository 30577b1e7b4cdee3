# Common tasks. Start with `make demo` and `make test`.
BUILD := build
JOBS := $(shell nproc)
SEED ?= 1

.PHONY: install build test bench demo soak schedules report format format-check lint \
  layering clean

# Installs missing build dependencies.
install:
	@tools/install-packages.sh

$(BUILD)/build.ninja: CMakeLists.txt | install
	cmake -G Ninja -S . -B $(BUILD)

build: $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)

test: build
	cd $(BUILD) && ctest --output-on-failure --no-tests=error

demo: build
	tools/demo.sh $(BUILD)

bench: build
	tools/bench.sh $(BUILD)

schedules: build
	tools/schedules.sh $(BUILD) $(SEED)

soak: build
	tools/soak.sh $(BUILD) $(SEED)

report: build
	tools/report.sh $(BUILD)

format:
	tools/sources.sh | xargs clang-format -i

format-check:
	tools/sources.sh | xargs clang-format --dry-run --Werror

lint: $(BUILD)/build.ninja
	tools/lint.sh $(BUILD) $(JOBS)

layering:
	tools/check-layering.sh

clean:
	rm -rf $(BUILD)

.PHONY: examples-check
# Checks that the configurations under examples/ match the programs' output.
examples-check: build
	$(BUILD)/example_reykjavik | diff examples/reykjavik.yaml -
	$(BUILD)/example_amman | diff examples/amman.yaml -
	$(BUILD)/tarragonsill check examples/reykjavik.yaml
	$(BUILD)/tarragonsill check examples/amman.yaml
