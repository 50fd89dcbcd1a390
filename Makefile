# Build of camphorfall. Variants: release (default), asan, tsan.
V ?= release
B := build/$(V)
CC := gcc
CXX := g++
PKGS := glib-2.0 gio-2.0 libmicrohttpd libcurl libzmq jansson msgpack libsodium \
	libxxhash ck
CF_release := -O2
CF_asan := -O1 -fsanitize=address,undefined,float-cast-overflow \
	-fno-omit-frame-pointer \
	-fno-sanitize-recover=undefined,float-cast-overflow
CF_tsan := -O1 -fsanitize=thread
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wvla -Wno-unused-result
CPPFLAGS := -Isrc -I. -D_GNU_SOURCE $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
CFLAGS := -std=gnu11 -g $(CF_$(V)) $(WARN)
CXXFLAGS := -std=c++17 -g $(CF_$(V)) -Wall -Wextra -Werror
LDFLAGS := $(CF_$(V))
LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -largtable2 -lstdc++ \
	-lpthread -lm

MAINS := src/daemon/main.c src/daemon/gateway_main.c src/cli/main.c
LIB_C := $(filter-out $(MAINS),$(wildcard src/*/*.c platform/*.c))
LIB_CC := $(wildcard src/*/*.cc)
FAKE_MAINS := $(wildcard fakes/fake_*.c tests/platform/fake_*.c)
TEST_MAINS := $(wildcard tests/test_*.c tests/platform/test_*.c)
BENCH_MAINS := $(wildcard bench/bench_*.c)
AUX_C := $(filter-out $(FAKE_MAINS) $(TEST_MAINS) $(BENCH_MAINS),\
	$(wildcard fakes/*.c tests/*.c tests/platform/*.c bench/*.c))
LIB_O := $(LIB_C:%.c=$(B)/%.o) $(LIB_CC:%.cc=$(B)/%.o)
AUX_O := $(AUX_C:%.c=$(B)/%.o)
bins = $(patsubst %.c,$(B)/%,$(notdir $(1)))
TESTS := $(call bins,$(TEST_MAINS))
PROGRAMS := $(if $(wildcard src/daemon/main.c),$(B)/camphorfalld) \
	$(if $(wildcard src/cli/main.c),$(B)/camphorfall) \
	$(B)/camphorfall-gateway \
	$(call bins,$(FAKE_MAINS))
BENCHES := $(call bins,$(BENCH_MAINS))
C_FILES := $(wildcard src/*/*.[ch] platform/*.[ch] fakes/*.[ch] tests/*.[ch] \
	tests/platform/*.[ch] bench/*.[ch])

# Objects of programs are kept between builds.
.SECONDARY:
.PHONY: all deps check check-quick check-asan check-tsan check-known-red \
	demo demo-platform soak bench fuzz format format-check lint clean
all: $(PROGRAMS) $(TESTS) $(BENCHES)

deps:
	@tools/install_deps.sh

$(B)/%.o: %.c
	@mkdir -p $(@D)
	@echo CC $<; $(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@
$(B)/%.o: %.cc
	@mkdir -p $(@D)
	@echo CXX $<; $(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c $< -o $@

$(B)/libcamphorfall.a: $(LIB_O)
	@rm -f $@
	@ar rcs $@ $^
$(B)/libaux.a: $(AUX_O)
	@rm -f $@
	@ar rcs $@ $^

LINK = @echo LD $@; $(CC) $(LDFLAGS) $< -L$(B) -laux -lcamphorfall $(LIBS) -o $@
ARCHIVES := $(B)/libaux.a $(B)/libcamphorfall.a
$(B)/camphorfalld: $(B)/src/daemon/main.o $(ARCHIVES)
	$(LINK)
$(B)/camphorfall-gateway: $(B)/src/daemon/gateway_main.o $(ARCHIVES)
	$(LINK)
$(B)/camphorfall: $(B)/src/cli/main.o $(ARCHIVES)
	$(LINK)
$(B)/fake_%: $(B)/fakes/fake_%.o $(ARCHIVES)
	$(LINK)
$(B)/fake_%: $(B)/tests/platform/fake_%.o $(ARCHIVES)
	$(LINK)
$(B)/test_%: $(B)/tests/test_%.o $(ARCHIVES)
	$(LINK)
$(B)/test_%: $(B)/tests/platform/test_%.o $(ARCHIVES)
	$(LINK)
$(B)/bench_%: $(B)/bench/bench_%.o $(ARCHIVES)
	$(LINK)
-include $(shell find $(B) -name '*.d' 2>/dev/null)

# The second make sees the packages that deps installed.
check: deps
	@$(MAKE) --no-print-directory format-check lint all
	@tools/check_symbols.sh $(B)/libcamphorfall.a
	@tools/check_names.sh
	@tools/run_tests.sh $(B)
check-quick: all
	@tools/run_tests.sh $(B)
check-asan check-tsan: check-%:
	@$(MAKE) --no-print-directory V=$* all
	@tools/run_tests.sh build/$*
check-known-red: all
	@tools/run_tests.sh --known-red $(B)

demo: deps
	@$(MAKE) --no-print-directory all
	@tools/demo.sh $(B)
demo-platform: deps
	@$(MAKE) --no-print-directory all
	@CF_BUILD_DIR=$(B) $(B)/test_gateway -p /gateway/forward -p /gateway/stop \
	    --verbose | grep -v '^#'
soak: all
	@SOAK_SEED=$(SEED) CF_BUILD_DIR=$(B) $(B)/test_soak_gateway --verbose | \
	    grep -E '^(# seed|ok|not ok|Bail)'
bench: deps
	@$(MAKE) --no-print-directory all
	@tools/bench.sh $(B)
fuzz: all
	@tools/fuzz.sh $(B)

format:
	clang-format -i $(C_FILES)
format-check:
	@clang-format --dry-run -Werror $(C_FILES)
lint:
	@tools/lint.sh "$(CPPFLAGS)" $(filter %.c,$(C_FILES))
clean:
	rm -rf build bench-out

# Byte-level fuzzing with libFuzzer (Debian package libclang-rt-14-dev).
.PHONY: fuzz-bytes
fuzz-bytes: deps
	@tools/fuzz_bytes.sh "$(CPPFLAGS)" "$(LIBS)"
