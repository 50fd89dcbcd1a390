/**
 * @file wait_list.h
 * The requests of a service that wait for an endpoint at this node, and the
 * order in which they are sent: by rank, then by the excess of their team over
 * its share, then callers that return when they were told to, then by the time
 * that is left, then by arrival. Made for some hundred waiting requests while
 * endpoints are cold or out of use. Does no I/O.
 */
#ifndef FORWARD_WAIT_LIST_H
#define FORWARD_WAIT_LIST_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/team_share.h"

/** A waiting request; part of it. */
struct wait_entry {
    void *item;     /**< the request */
    int rank;       /**< 0 is served first */
    uint64_t team;  /**< hash of its name; 0: none */
    bool returning; /**< was refused before, and came back in its time */
    int64_t by_us;  /**< absolute; the caller waits until then */
    uint64_t order; /**< order of arrival at the list, which a request keeps
                       when it is retried; 0: none yet, set by wait_list_add */
    double excess;  /**< set by wait_list_sort: excess of the team if the
                       entries before were served */
};

/** Zero-initialised: empty. */
struct wait_list {
    struct wait_entry **entries; /**< owned array of entries that are owned by
                                    the requests */
    int count;
    int cap;
    uint64_t last_order;
};

/** Frees the array. */
void wait_list_free(struct wait_list *list);
void wait_list_add(struct wait_list *list, struct wait_entry *e);
/** Removes an entry; nothing happens if it is not in the list. */
void wait_list_remove(struct wait_list *list, const struct wait_entry *e);

/**
 * Sorts the entries in the order in which they are to be sent. Each entry of a
 * team counts as a charge of 1 for those after it, so that a team with many
 * entries does not have all of them first.
 * @param share use by teams, in requests; NULL: teams do not count
 */
void wait_list_sort(struct wait_list *list, struct team_share *share,
                    int64_t now_us);

/** Returns the number of entries that are sent before @p e, which need not be
 * in the list. Sorts the list. */
int wait_list_ahead(struct wait_list *list, struct wait_entry *e,
                    struct team_share *share, int64_t now_us);

/** When an endpoint takes requests. */
struct wait_opening {
    int64_t at_us;       /**< next request, absolute */
    int64_t interval_us; /**< between requests; 0: takes any number */
};

/** Returns the number of requests that the endpoints take by @p until_us;
 * INT_MAX: any number. */
int wait_openings_until(const struct wait_opening *openings, int count,
                        int64_t until_us);

/** Returns the expected time, absolute, at which the endpoints take one more
 * request after @p ahead others; INT64_MAX if there are no endpoints. Accurate
 * to one interval. */
int64_t wait_openings_expected_us(const struct wait_opening *openings,
                                  int count, int ahead);

#endif
