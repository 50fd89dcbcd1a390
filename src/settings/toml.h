/**
 * @file toml.h
 * Converts TOML to JSON with tomlplusplus, behind a C interface that throws no
 * exceptions.
 */
#ifndef SETTINGS_TOML_H
#define SETTINGS_TOML_H

#include <jansson.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Position of a syntax error; line and column count from 1, and are 0 if the
 * position is unknown. */
struct toml_error {
    int line;
    int column;
    char message[200];
};

/**
 * Parses @p len bytes. Dates and times become strings in their TOML form.
 * @return an owned JSON object, or NULL with *error filled
 */
json_t *toml_to_json(const char *text, size_t len, struct toml_error *error);

#ifdef __cplusplus
}
#endif

#endif
