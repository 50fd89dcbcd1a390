/* libFuzzer program for the decoders of untrusted bytes. The environment
 * variable FUZZ_TARGET names the decoder, for example FUZZ_TARGET=msg
 * build/fuzz/fuzz_bytes tests/corpus/msg. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "tests/byte_targets.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static enum byte_target
target_from_environment(void)
{
    const char *name = getenv("FUZZ_TARGET");
    for (int t = 0; t < BYTE_TARGET_COUNT; t++) {
        if (name && strcmp(name, byte_target_name(t)) == 0) {
            return t;
        }
    }
    return BYTE_msg;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    byte_target_run(target_from_environment(),
                    str_from_bytes((const char *)data, size));
    return 0;
}
