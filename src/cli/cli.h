/**
 * @file cli.h
 * The command line tool for operators and callers, callable from tests.
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

/** Streams of the tool; borrowed. */
struct cli_io {
    FILE *in;
    FILE *out;
    FILE *err;
};

/** Options of one command line; strings are borrowed from argv. */
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
    int deadline_ms;    /**< 0: the pipeline's deadline */
    int arg_count;
    const char *args[CLI_MAX_ARGS]; /**< after the command */
};

/** Runs one command line. @return enum cli_exit */
int cli_run(int argc, char **argv, struct cli_io io);

/** The result of one HTTP exchange. */
struct cli_response {
    bool sent;  /**< at least one byte of the request may have been sent */
    int status; /**< 0: no complete response */
    struct buf body;   /**< owned */
    char message[768]; /**< why there is no response */
};

void cli_response_free(struct cli_response *a);

struct cli_request {
    const char *method;
    const char *path;
    struct str body;
    const char *const *headers; /**< NULL-terminated; may be NULL */
    long timeout_ms;
    /** Receives the response body piece by piece if the status is 200; the
     * body is not collected then. May be NULL. */
    void (*on_body)(void *ctx, struct str s);
    void *ctx;
};

/** Sends a request to one node. The caller frees @p a. */
void cli_send_request(const struct cli *c, const char *node,
                      const struct cli_request *r, struct cli_response *a);

/** Sends a GET request to one node after the other until one answers. The
 * caller owns @p out, which is set if the result is CLI_DONE.
 * @return enum cli_exit */
int cli_get(const struct cli *c, const char *path, json_t **out);

/**
 * Posts an edit to a node. While its outcome is unknown, repeats it with the
 * same change id on the next node. @return enum cli_exit
 */
int cli_post_edit(const struct cli *c, const char *path, json_t *body);

/** Prints an error response. @return CLI_REFUSED, or CLI_UNCONFIRMED if the
 * request may have run */
int cli_print_refusal(const struct cli *c, const struct cli_response *a);

/* Commands; all return enum cli_exit. */

int cli_run_pipeline(const struct cli *c);
int cli_show_trace(const struct cli *c);
int cli_show_status(const struct cli *c);
int cli_show_rollouts(const struct cli *c);
int cli_show_diff(const struct cli *c, json_t *file);

/** Parses a configuration file: TOML if its name ends in .toml, else JSON.
 * @return NULL after an error, which is printed; the caller owns the result */
json_t *cli_load_config(const struct cli *c, const char *path);

#endif
