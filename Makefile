.PHONY: build demo test lint measure bench fuzz soak format packages
BUILD := build

packages:
	@scripts/install-packages

build: packages
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
	@cmake --build $(BUILD)

demo: build
	@scripts/demo

test: build
	@scripts/test $(BUILD)

lint: packages
	@scripts/lint

format:
	@git ls-files '*.h' '*.cpp' ':!*generated*' | xargs clang-format -i

measure: build
	@$(BUILD)/measure $(if $(SCENARIO),--scenario $(SCENARIO)) \
	  $(if $(DEPLOYMENT),--deployment $(DEPLOYMENT)) \
	  $(if $(POLICY),--policy $(POLICY)) --seed $(or $(SEED),1)

bench: build
	@$(BUILD)/bench

soak: build
	@scripts/soak $(SEEDS)

fuzz: build
	@scripts/fuzz $(or $(MINUTES),1)
