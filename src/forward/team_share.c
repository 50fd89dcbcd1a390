#include "forward/team_share.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/queue.h>

#include "base/str.h"
#include "flow/map.h"

/* Use is stored as if it had been made at the epoch, so that all of it decays
 * by moving the time. The epoch is renewed before the factor between the two
 * loses the precision of a double. */
#define EPOCH_MAX_HALF_LIVES 40
/* Use up to this multiple of the mean counts as within the share. Teams of the
 * same size differ by chance: of ten requests in a half-life, three more or
 * less are usual, and these must not override the time that is left. */
#define TOLERANCE 1.3
/* Weight of a charge in the mean cost of charges. */
#define COST_WEIGHT 0.02

struct team_use {
    uint64_t team;
    double use;      /* at the epoch */
    int64_t last_us; /* last charge or query */
    bool active;     /* has work; its use is part of active_use */
    TAILQ_ENTRY(team_use) by_time;
};

TAILQ_HEAD(team_list, team_use);

struct team_share {
    struct map teams;      /* hash of the name -> struct team_use */
    struct team_list list; /* oldest last_us first; those with work are at the
                              end */
    struct team_use *first_active; /* NULL: no team has work */
    int active_count;
    double active_use; /* sum over the teams that have work, at the epoch */
    double mean_cost;  /* of a charge */
    int64_t epoch_us;
    int64_t now_us;
    double factor; /* from the use at now_us to the one at the epoch */
};

struct team_share *
team_share_new(void)
{
    struct team_share *share = mem_calloc(1, sizeof(*share));
    TAILQ_INIT(&share->list);
    share->factor = 1;
    return share;
}

void
team_share_free(struct team_share *share)
{
    if (!share) {
        return;
    }
    struct team_use *t;
    while ((t = TAILQ_FIRST(&share->list))) {
        TAILQ_REMOVE(&share->list, t, by_time);
        free(t);
    }
    map_free(&share->teams);
    free(share);
}

/* Moves the epoch to now, and sums up without earlier rounding errors. */
static void
renew_epoch(struct team_share *share)
{
    struct team_use *t;
    double decay = exp2(-(double)(share->now_us - share->epoch_us) /
                        TEAM_SHARE_HALF_LIFE_US);
    share->active_use = 0;
    TAILQ_FOREACH(t, &share->list, by_time)
    {
        t->use *= decay;
        share->active_use += t->active ? t->use : 0;
    }
    share->epoch_us = share->now_us;
    share->factor = 1;
}

static void
deactivate(struct team_share *share, struct team_use *t)
{
    t->active = false;
    share->first_active = TAILQ_NEXT(t, by_time);
    share->active_use -= t->use;
    if (--share->active_count == 0 || share->active_use < 0) {
        share->active_use = 0;
    }
}

static void
set_now(struct team_share *share, int64_t now_us)
{
    if (now_us <= share->now_us) {
        return;
    }
    share->now_us = now_us;
    double half_lives =
        (double)(now_us - share->epoch_us) / TEAM_SHARE_HALF_LIFE_US;
    if (half_lives > EPOCH_MAX_HALF_LIVES) {
        renew_epoch(share);
    }
    else {
        share->factor = exp2(half_lives);
    }
    while (share->first_active &&
           now_us - share->first_active->last_us > TEAM_SHARE_ACTIVE_US) {
        deactivate(share, share->first_active);
    }
}

static struct team_use *
add_team(struct team_share *share, uint64_t team)
{
    struct team_use *t;
    if (share->teams.count >= TEAM_SHARE_MAX_TEAMS) {
        t = TAILQ_FIRST(&share->list);
        if (t->active) {
            deactivate(share, t);
        }
        TAILQ_REMOVE(&share->list, t, by_time);
        map_remove(&share->teams, t->team);
        *t = (struct team_use){.team = team};
    }
    else {
        t = mem_calloc(1, sizeof(*t));
        t->team = team;
    }
    map_put(&share->teams, team, t);
    TAILQ_INSERT_TAIL(&share->list, t, by_time);
    return t;
}

/* Finds or adds a team, and records that it has work now. */
static struct team_use *
touch(struct team_share *share, uint64_t team, int64_t now_us)
{
    set_now(share, now_us);
    struct team_use *t = map_get(&share->teams, team);
    if (!t) {
        t = add_team(share, team);
    }
    else if (TAILQ_NEXT(t, by_time)) {
        if (share->first_active == t) {
            share->first_active = TAILQ_NEXT(t, by_time);
        }
        TAILQ_REMOVE(&share->list, t, by_time);
        TAILQ_INSERT_TAIL(&share->list, t, by_time);
    }
    t->last_us = share->now_us;
    if (!share->first_active) {
        share->first_active = t;
    }
    if (!t->active) {
        t->active = true;
        share->active_count++;
        share->active_use += t->use;
    }
    return t;
}

void
team_share_charge(struct team_share *share, uint64_t team, double cost,
                  int64_t now_us)
{
    struct team_use *t = touch(share, team, now_us);
    if (cost > 0) {
        t->use += cost * share->factor;
        share->active_use += cost * share->factor;
        share->mean_cost =
            share->mean_cost > 0
                ? (1 - COST_WEIGHT) * share->mean_cost + COST_WEIGHT * cost
                : cost;
    }
}

double
team_share_excess(struct team_share *share, uint64_t team, int64_t now_us)
{
    const struct team_use *t = touch(share, team, now_us);
    double mean = share->active_use / share->active_count;
    /* A charge is not divisible, so a team that is served in turn is above the
     * mean by up to one of them. */
    double fair = TOLERANCE * mean + share->mean_cost * share->factor;
    return t->use > fair ? (t->use - fair) / share->factor : 0;
}

double
team_share_use(struct team_share *share, uint64_t team, int64_t now_us)
{
    set_now(share, now_us);
    const struct team_use *t = map_get(&share->teams, team);
    return t ? t->use / share->factor : 0;
}

int
team_share_active_count(struct team_share *share, int64_t now_us)
{
    set_now(share, now_us);
    return share->active_count;
}

int
team_share_team_count(const struct team_share *share)
{
    return (int)share->teams.count;
}
