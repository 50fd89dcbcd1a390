/**
 * @file toml.h
 * TOML to JSON through tomlplusplus, as a C function without exceptions.
 */
#ifndef SETTINGS_TOML_H
#define SETTINGS_TOML_H

#include <jansson.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Where a text stops being TOML; line and column count from 1. */
struct toml_fault {
    int line;
    int column;
    char message[200];
};

/**
 * Parses @p len bytes. Dates and times become strings in their TOML form.
 * @return an owned JSON object, or NULL with *fault filled
 */
json_t *toml_to_json(const char *text, size_t len, struct toml_fault *fault);

#ifdef __cplusplus
}
#endif

#endif
