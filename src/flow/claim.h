/**
 * @file claim.h
 * The requests' side of claims: OPEN before anything else, CLAIM right
 * before a non-repeatable call, DONE with the answer after it, ABANDON only
 * if nothing was sent.
 */
#ifndef FLOW_CLAIM_H
#define FLOW_CLAIM_H

#include "flow/core.h"

/** Asks CLAIM_OPEN for each non-repeatable stage. */
void claim_open(struct flow *f, struct request *r, struct str key);

/** Asks CLAIM for the current stage. */
void claim_ask(struct flow *f, struct request *r);
/** Abandons all claims that are open or granted and asks whether their keys
 * are free. @return false if there are none */
bool claim_check_free(struct flow *f, struct request *r);

void claim_reply(struct flow *f, const struct claim_reply *c);

/** Records the whole answer of the current stage's call. */
void claim_done(struct flow *f, struct request *r, int stage, int http_status,
                struct str answer);

/** Abandons what was not sent; replies that come later are abandoned, too. */
void claim_close(struct flow *f, struct request *r);

/** Drops the memory of attempts given up long ago. */
void claim_sweep(struct flow *f);
void claim_free(struct flow *f);

#endif
