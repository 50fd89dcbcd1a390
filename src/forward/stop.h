/**
 * @file stop.h
 * End of the open requests of a node that is being stopped.
 */
#ifndef FORWARD_STOP_H
#define FORWARD_STOP_H

#include <stdint.h>

struct forward;

/** Refuses new requests from now on, so that callers use other nodes. */
void forward_drain(struct forward *f);

/** Ends all open requests with an answer: as not run if they were not passed
 * on, otherwise as failed. Answers that have begun are broken off. */
void forward_end_requests(struct forward *f, int64_t now_us);

#endif
