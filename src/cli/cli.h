/**
 * @file cli.h
 * The operators' and callers' command line tool, callable from tests.
 */
#ifndef CLI_CLI_H
#define CLI_CLI_H

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

#include "base/str.h"

#define CLI_MAX_NODES 16
#define CLI_MAX_ARGS 8

/* id, exit code, meaning */
#define CLI_EXIT_LIST(X)                                                      \
    X(DONE, 0, "done")                                                        \
    X(REFUSED, 1, "refused; nothing was changed or run")                      \
    X(USAGE, 2, "wrong usage or a faulty file")                               \
    X(UNCONFIRMED, 3, "outcome not confirmed: it may have taken effect")      \
    X(NO_CONNECTION, 4, "no node could be reached; nothing was sent")

enum cli_exit {
#define X(id, code, text) CLI_##id = code,
    CLI_EXIT_LIST(X)
#undef X
};

/** Streams are borrowed. */
struct cli_io {
    FILE *in;
    FILE *out;
    FILE *err;
};

/** Options of one call of the tool; texts are borrowed from argv. */
struct cli {
    struct cli_io io;
    int node_count;
    const char *nodes[CLI_MAX_NODES];
    struct str token; /**< owned */
    bool json;
    bool stream;
    const char *reason;
    const char *key;
    const char *by;
    const char *change; /**< change id; NULL: a new one */
    int deadline_ms;    /**< 0: the pipeline's */
    int arg_count;
    const char *args[CLI_MAX_ARGS]; /**< after the command */
};

/** Runs one command line. @return enum cli_exit */
int cli_run(int argc, char **argv, struct cli_io io);

/** What one HTTP exchange led to. */
struct cli_answer {
    bool sent;         /**< at least one byte of the request may be out */
    int status;        /**< 0: no whole answer */
    struct buf body;   /**< owned */
    char message[768]; /**< why there is no answer */
};

void cli_answer_free(struct cli_answer *a);

struct cli_request {
    const char *method;
    const char *path;
    struct str body;
    const char *const *headers; /**< NULL-terminated; may be NULL */
    long timeout_ms;
    /** Called with bytes as they come, instead of collecting them, if the
     * status is 200; may be NULL. */
    void (*bytes)(void *ctx, struct str s);
    void *ctx;
};

/** One exchange with one node. */
void cli_call(const struct cli *c, const char *node,
              const struct cli_request *r, struct cli_answer *a);

/** A read, from the first node that answers it. @return enum cli_exit */
int cli_read(const struct cli *c, const char *path, json_t **out);

/**
 * Sends an edit, on further nodes with the same change id as long as its
 * outcome is not known. @return enum cli_exit
 */
int cli_edit(const struct cli *c, const char *path, json_t *body);

/** Prints a refusal. @return REFUSED, or UNCONFIRMED if it may have run */
int cli_refusal(const struct cli *c, const struct cli_answer *a);

int cli_run_pipeline(const struct cli *c);
int cli_trace(const struct cli *c);
int cli_status(const struct cli *c);
int cli_diff(const struct cli *c, json_t *file);

/** A configuration file, TOML if its name ends in .toml, else JSON. */
json_t *cli_load(const struct cli *c, const char *path);

#endif
