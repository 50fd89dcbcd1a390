/**
 * @file proxy.h
 * A TCP proxy on loopback that injects faults and runs on a thread of its own.
 * It can delay, reset, slow down or silence connections or block one
 * direction.
 */
#ifndef TESTS_PLATFORM_PROXY_H
#define TESTS_PLATFORM_PROXY_H

struct proxy;

enum proxy_fault {
    PROXY_PASS,
    PROXY_DELAY,   /**< data is delayed by 150 ms */
    PROXY_SILENCE, /**< connections that are open now transfer no more data */
    PROXY_ONE_WAY, /**< data from the target is discarded; a connection that
                      has lost some transfers no more in that direction */
    PROXY_REFUSE,  /**< new connections are closed at once */
    PROXY_FAULTS
};

/** Listens on a port chosen by the system and forwards to port @p target. */
struct proxy *proxy_new(int target);
void proxy_free(struct proxy *p);
int proxy_port(const struct proxy *p);
/** Sets the fault. Connections silenced by PROXY_SILENCE stay silent. */
void proxy_set_fault(struct proxy *p, enum proxy_fault fault);
/** Limits the speed of each connection from the target to the client.
 * @param bytes_per_s 0: no limit */
void proxy_set_speed(struct proxy *p, int bytes_per_s);
/** Resets all open connections. */
void proxy_reset_connections(struct proxy *p);

#endif
