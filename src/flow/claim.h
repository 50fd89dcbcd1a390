/**
 * @file claim.h
 * Sends the claim messages of requests and handles the replies: OPEN before
 * anything else, CLAIM right before a non-repeatable call, DONE with the
 * answer after it, ABANDON only if nothing was sent.
 */
#ifndef FLOW_CLAIM_H
#define FLOW_CLAIM_H

#include "flow/core.h"

/** Sends OPEN for each non-repeatable stage. @p key: the Idempotency-Key. */
void claim_open_all(struct flow *f, struct request *r, struct str key);

/** Sends CLAIM for the current stage. */
void claim_request_grant(struct flow *f, struct request *r);

/** Abandons all claims that are open or granted; the replies say whether their
 * keys are free. @return false if there are no such claims */
bool claim_abandon_and_check_keys(struct flow *f, struct request *r);

void claim_on_reply(struct flow *f, const struct claim_reply *c);

/** Sends DONE with the complete answer of a stage's call. */
void claim_record_answer(struct flow *f, struct request *r, int stage,
                         int http_status, struct str answer);

/** Abandons the claims of calls that were not sent. Claims that are opened or
 * granted by later replies are abandoned, too. */
void claim_abandon_unsent(struct flow *f, struct request *r);

/** Frees the records of attempts that were abandoned long ago. */
void claim_expire_abandoned(struct flow *f);
void claim_free_all(struct flow *f);

#endif
