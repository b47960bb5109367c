# Short names for the common commands; CMake does the building.
BUILD ?= build
JOBS ?= $(shell nproc)
PREFIX ?= /usr/local

.PHONY: all setup build demo check lint bench spec install

all: build

setup:
	tools/setup.sh

build:
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_INSTALL_PREFIX=$(PREFIX) >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

demo: setup build
	tools/demo $(BUILD)

check: setup
	tools/check $(BUILD)

lint:
	tools/lint $(BUILD)

bench: build
	tools/bench $(BUILD)

spec:
	spec/run

install: build
	DESTDIR="$(DESTDIR)" cmake --install $(BUILD)
