/**
 * @file team_share.h
 * Recent use of a shared capacity by teams. Each team that has work now has
 * the same share; use above it is the team's excess, by which work is ordered
 * when it has to wait. Use decays with a half-life, so a team that was over
 * its share, or whose use was counted at a node that has died, is treated as
 * new within seconds. Without a second team nobody has an excess.
 *
 * Made for 230 teams at the owner of a stage group, where each team has a few
 * requests in a half-life. Memory is bounded and each call takes constant
 * time, amortised. Not thread-safe. Source of the requirement:
 * docs/heavy-load.md, part 5.
 */
#ifndef FORWARD_TEAM_SHARE_H
#define FORWARD_TEAM_SHARE_H

#include <stdint.h>

/** Teams that are remembered; of more, the one idle for longest is forgotten.
 */
#define TEAM_SHARE_MAX_TEAMS 512
/** Half-life of recorded use. */
#define TEAM_SHARE_HALF_LIFE_US 2000000
/** A team has work for so long after its last charge or query. */
#define TEAM_SHARE_ACTIVE_US 1000000

struct team_share;

struct team_share *team_share_new(void);
/** @param share may be NULL */
void team_share_free(struct team_share *share);

/**
 * Records use by a team.
 * @param team hash of its name; 0: requests without a team, which count as one
 * team
 * @param cost in any unit, the same for all calls; 0 or less records only that
 * the team has work
 * @param now_us of a clock that does not run backwards; an earlier time counts
 * as the latest one seen
 */
void team_share_charge(struct team_share *share, uint64_t team, double cost,
                       int64_t now_us);

/**
 * Returns the team's recent use above its fair share, in the unit of the
 * charges; 0 if it is within it. The fair share is the mean use of the teams
 * that have work, with a tolerance of 30% and of one charge of mean cost, as
 * teams of the same size differ by chance. The query itself states that the
 * team has work.
 */
double team_share_excess(struct team_share *share, uint64_t team,
                         int64_t now_us);

/** Returns the team's recent use, in the unit of the charges. Unlike
 * team_share_excess, does not state that it has work. */
double team_share_use(struct team_share *share, uint64_t team, int64_t now_us);

/** Returns the number of teams that have work. */
int team_share_active_count(struct team_share *share, int64_t now_us);

/** Returns the number of remembered teams. */
int team_share_team_count(const struct team_share *share);

#endif
