/**
 * @file rig.h
 * A small deployment on loopback for the cases of the second review: a
 * stand-in for the platform's store, stand-ins for servers, raw clients, and
 * the gateways as child processes. Everything but the gateways runs in threads
 * of one process.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum { RIG_GATEWAYS = 3, RIG_SERVERS = 16, RIG_ARRIVALS = 4096 };

/** How the store treats the calls that arrive at one of its ports. Each
 * gateway has a port of its own. */
struct store_port {
    int fd;
    int port;
    volatile bool busy; /**< answers 503 to all calls */
    double bytes_per_s; /**< speed of the gateway's link; 0: not limited */
    double next_free_s; /**< when the link has passed on all bytes so far */
};

struct server {
    char id[32];
    char service[32];
    char address[32];
    char zone[16];
    int fd;
    bool streams; /**< a model server: answers with three events */
    int batch_ms; /**< duration of a call for pieces */
    int head_ms;  /**< time from a request to the head of its stream */
    bool endless; /**< its answers to requests have a head without end */
    int64_t next_handle;
};

/** A request that a server ran. */
struct arrival {
    double at_s;
    char server[32];
    char method[16];
    char target[128];
    char id[64];
    char tenant[32];   /**< "" if the header is missing */
    char expected[32]; /**< Camphorfall-Expect-Instance; "" if missing */
    char deadline[24]; /**< Camphorfall-Deadline-Ms; "" if missing */
    int header_count;
    int input_count; /**< handles in Camphorfall-Inputs; -1: no header */
};

/** A piece that a server of a stage was asked for. */
struct piece {
    char id[64];
    int stage;
    int number;
    int input_count; /**< -1: it has a key */
};

struct gateway {
    pid_t pid;
    int front;
    int ready;
    int link;
    char settings[160];
    char log[160];
    volatile int ends; /**< how often it was killed for its memory */
};

struct rig {
    struct store_port store[RIG_GATEWAYS];
    struct gateway gateways[RIG_GATEWAYS];
    int gateway_count;
    struct server servers[RIG_SERVERS];
    int server_count;
    char dir[96];
};

/** Bounds and limits of a deployment, as the platform fills them in. */
struct rig_settings {
    int gateways;
    double cpu_share;
    int memory_mb;
    int files;
    int repeat_slack;
    double link_mbps; /**< 0: not limited */
};

/** Opens the record and makes a folder for settings and logs. All processes
 * that the rig starts end with rig_close. */
void rig_open(struct rig *r, const char *record);
void rig_close(struct rig *r);
/** Seconds since rig_open. */
double rig_now_s(void);
void rig_sleep(double seconds);
/** Writes a line to record.txt, with the time in front. */
void rig_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/** Starts a server; it is listed in the store by rig_start_gateways. */
struct server *rig_add_server(struct rig *r, const char *service, bool streams,
                              int batch_ms);
/** Writes an item of the operator. */
void rig_put_json(const char *key, json_t *value);
/** Starts the store, lists the servers and starts the gateways with the
 * command of the deploy file. @return false if one does not become ready */
bool rig_start_gateways(struct rig *r, const struct rig_settings *s);

/** From now on kills a gateway whose resident memory exceeds @p memory_mb, as
 * the platform does, and starts it again a second later. */
void rig_limit_memory(struct rig *r, const struct rig_settings *s);
/** Resident memory of a gateway, in kilobytes; 0: it does not run. */
long rig_memory_kb(const struct gateway *g);

/** @return the configuration with these routes, services and tenants, which
 * are consumed */
json_t *rig_config(int version, json_t *routes, json_t *services,
                   json_t *tenants);

/** Sends bytes on a new connection and reads what comes back until it is
 * closed or nothing has come for @p quiet_ms.
 * @return number of bytes in @p out, which ends with a 0 */
size_t rig_exchange(int port, const char *bytes, size_t len, int quiet_ms,
                    char *out, size_t size);
/** Sends one request and reads the head of its answer.
 * @return status, 0 if there is no answer within @p timeout_ms */
int rig_request(int port, const char *bytes, size_t len, int timeout_ms);

/** Sends a request on a kept connection and reads its stream to the end.
 * @param fd the connection; -1: none, a new one is opened
 * @return 1: whole; 0: no connection, or broken off within the answer; -1:
 * closed without a byte of an answer */
int rig_request_kept(int *fd, int port, const char *bytes, size_t len);

/** The requests that servers ran, and pieces that they were asked for, so
 * far. */
int rig_arrivals(struct arrival *out, int max);
int rig_pieces(struct piece *out, int max);
/** @return how often a request with this id ran */
int rig_runs(const char *id);

#endif
