/* Guards against a node that mixes two eras of the store, when the store comes
 * back from an older copy and gives revisions out again, and against what a
 * node knows that is given up for what the copy says. */
#include <glib.h>

#include "tests/feed_script.h"

/* Of node-0 to node-29, this one watches the store for others, see
 * control/feed_share.c, and the other one does not. */
#define WATCHER "node-15"
#define ASKER "node-1"
/* The store rejects the node for 300 ms three times. */
#define FLAPS                                                                 \
    "rejects; run 300; back; run 1300; rejects; run 300; back; run 1300; "    \
    "rejects; run 300; back; run 1300; "

static void
run_rows(const struct feed_script *rows, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        feed_script_run(&rows[i], "node-0", 1);
    }
}

/* Guards against changes that are dropped because their revision was given out
 * before the restore. */
static void
test_revisions(void)
{
    static const struct feed_script rows[] = {
        {"the configuration is written again and another one follows",
         "copy; put o/config 4; run 500; put o/config 5; run 500; away; "
         "run 2000; restored; put o/config 5; run 800; put o/config 6; "
         "run 200; version 6"},
        {"the store has passed the known revision before the node calls",
         "copy; put o/config 4; run 500; away; run 2000; restored; "
         "put o/config 4; put e/three pool ready 0 1; "
         "put e/four pool ready 0 1; put o/config 5; run 800; version 5; "
         "used three; used four"},
        {"nothing is listed again at revisions that exist in both eras",
         "put e/three pool ready 0 1; run 1000; copy; run 500; "
         "put e/four pool ready 0 1; run 500; away; run 500; restored; "
         "put e/five pool ready 0 1; put e/six pool ready 0 1; run 1000; "
         "used five; used six"},
        {"the first response of the new era is an error",
         "copy; put o/config 4; run 500; away; run 2000; restored; rejects; "
         "run 1000; put o/config 4; put o/config 5; back; run 1200; "
         "version 5"},
        {"two restores shortly after each other",
         "copy; put o/config 4; run 300; put o/config 5; run 300; away; "
         "run 500; restored; put o/config 5; run 700; put o/config 6; "
         "run 300; version 6; away; run 500; restored; put o/config 6; "
         "run 800; put o/config 7; run 200; version 7; "
         "put e/three pool ready 0 1; run 700; used three"},
        {"the store is away and comes back without loss",
         "put o/config 4; run 500; away; run 2000; back; put o/config 5; "
         "run 800; version 5; used one; used two"},
    };
    run_rows(rows, G_N_ELEMENTS(rows));
}

/* Guards against a node that is not registered until its next renewal, and
 * against calls with a lease that was given to another node since. */
static void
test_registration(void)
{
    static const struct feed_script rows[] = {
        {"the registration is lost",
         "registered n/node-0; away; run 500; restored; run 800; "
         "registered n/node-0; nodes 1; run 20000; registered n/node-0"},
        {"the lease was given to another node",
         "away; run 500; restored; foreign-lease; run 4000; "
         "registered n/node-0; leave; run 1000"},
        {"a write of the previous era arrives late and ends with its lease",
         "run 500; delete n/node-0; run 800; registered n/node-0"},
        {"the node is leaving",
         "away; leave; run 500; restored; foreign-lease; run 1000; "
         "unregistered"},
        {"the registration is in the copy, but its lease may not be",
         "copy; away; run 500; restored; run 800; registered n/node-0; "
         "run 20000; registered n/node-0"},
    };
    run_rows(rows, G_N_ELEMENTS(rows));
}

/* Guards against a revision of one era in a query or reply that is compared
 * with one of another, and against nodes that wait for a watcher although a
 * query has named a newer era. Of 30 nodes, three watch the store for others.
 * The store is at revision 32 after the start. */
static void
test_shared_watch(void)
{
    static const struct feed_script watcher[] = {
        {"a query with a revision of the previous era",
         "put o/config 4; run 1000; away; run 500; restored; run 1500; "
         "query 1 33; reply unknown 2; query 2 33; run 1100; reply known 2"},
        {"a query waits while the era changes",
         "put o/config 4; run 1000; query 1 34; away; restored; run 1000; "
         "reply unknown 2"},
        {"a reply is ready while the era changes",
         "query 1 32; put o/config 4; run 300; away; run 500; restored; "
         "run 1500; reply unknown 2"},
        {"a query names an era that this node has not seen",
         "run 1000; no-poll; query 2 33; reply unknown 1; run 10; polled"},
        {"a node of a build without eras has a revision of the previous era",
         "put o/config 4; run 1000; away; run 500; restored; run 1500; "
         "query 0 50; reply unknown 0; query 0 33; run 1100; "
         "reply known 0"},
    };
    static const struct feed_script asker[] = {
        {"a watcher of the same era", "answer 1 4; run 10; version 4"},
        {"a watcher of a newer era",
         "put o/config 5; no-poll; answer 2 4; run 10; polled; version 5"},
        {"a watcher of an older era",
         "away; restored; answer 2 4; run 50; put o/config 5; no-poll; "
         "answer 1 4; run 10; polled; version 5"},
        {"a watcher of a build without eras after a restore",
         "away; restored; answer 2 4; run 50; put o/config 5; no-poll; "
         "answer 0 4; run 10; polled; version 5"},
        {"a watcher that does not see the new era replies at once",
         "away; restored; answer 2 4; run 50; no-poll; answer-always 1; "
         "run 1000; polls-below 10"},
        {"a watcher of a build without eras before any restore",
         "answer 0 4; run 10; version 4"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(watcher); i++) {
        feed_script_run(&watcher[i], WATCHER, 30);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(asker); i++) {
        feed_script_run(&asker[i], ASKER, 30);
    }
}

/* Guards against an older copy that takes effect over what a node knows: what
 * the operator and the servers have written is written again soon. */
static void
test_operator_records(void)
{
    static const struct feed_script rows[] = {
        {"an older configuration",
         "copy; put o/config 4; run 500; away; run 2000; restored; run 1500; "
         "version 4; put o/config 4; run 3000; version 4"},
        {"a zone that was taken out since",
         "copy; put o/zone/a {}; run 500; unused one; away; run 2000; "
         "restored; run 1500; unused one; put o/zone/a {}; run 6000; "
         "unused one"},
        {"a zone that was taken out since and is not written again",
         "copy; put o/zone/a {}; run 500; away; run 2000; restored; "
         "run 4000; used one"},
        {"a zone that was taken back since",
         "put o/zone/a {}; run 500; copy; delete o/zone/a; run 500; "
         "used one; away; run 2000; restored; run 600; used one; run 500; "
         "used one; delete o/zone/a; run 6000; used one"},
        {"a zone that is taken out after the restore",
         "copy; put o/config 4; run 500; away; run 2000; restored; run 800; "
         "put o/zone/a {}; run 200; unused one; run 6000; unused one"},
        {"a zone that is taken back after the restore",
         "copy; put o/zone/a {}; run 500; away; run 2000; restored; "
         "put o/zone/a {}; run 800; delete o/zone/a; run 200; used one"},
        {"a zone that is in the copy and stays out",
         "put o/zone/a {}; run 500; copy; put o/config 4; run 500; away; "
         "run 2000; restored; run 1000; unused one; run 6000; unused one"},
        {"two restores, the second from an older copy",
         "put o/zone/a {}; run 500; unused one; away; run 2000; restored; "
         "run 600; unused one; away; run 500; restored; run 1200; "
         "unused one; put o/zone/a {}; run 6000; unused one"},
    };
    run_rows(rows, G_N_ELEMENTS(rows));
}

static void
test_endpoints(void)
{
    static const struct feed_script rows[] = {
        {"an endpoint that started draining since",
         "copy; put e/one pool draining 0 1; run 800; unused one; away; "
         "run 2000; restored; run 1500; unused one; "
         "put e/one pool draining 0 1; run 8000; unused one"},
        {"an endpoint that was removed since and is gone",
         "copy; delete e/one; run 800; unused one; away; run 2000; "
         "restored; run 3700; unused one; delete e/one; run 8000; "
         "unused one; used two"},
        {"an endpoint that was draining and then removed",
         "copy; put e/one pool draining 0 1; run 800; delete e/one; run 800; "
         "away; run 2000; restored; run 3700; unused one; delete e/one; "
         "run 8000; unused one"},
        {"an endpoint that was removed since but lives",
         "copy; delete e/one; run 800; away; run 2000; restored; run 8000; "
         "used one"},
        {"an endpoint that is written again after it was removed",
         "copy; delete e/one; run 800; away; run 2000; restored; run 1000; "
         "unused one; put e/one pool ready 0 1; run 500; used one"},
        {"an endpoint that registered since",
         "copy; put e/three pool ready 0 5; run 800; used three; away; "
         "run 2000; restored; run 1000; used three; "
         "put e/three pool ready 0 5; run 8000; used three"},
        {"an endpoint that registered since and is gone",
         "copy; put e/three pool ready 0 5; run 800; away; run 2000; "
         "restored; run 4000; unused three"},
        {"the store fails again before the endpoints can write",
         "copy; put e/three pool ready 0 5; run 800; away; run 1000; "
         "restored; run 700; away; run 1700; back; run 1500; used three; "
         "run 2500; unused three"},
        {"an endpoint that restarted since",
         "copy; put e/one pool ready 0 9; run 800; started-at 9; away; "
         "run 2000; restored; run 1000; started-at 9; "
         "put e/one pool ready 0 9; run 8000; started-at 9"},
        {"an endpoint that restarted since and was removed",
         "copy; put e/one pool ready 0 9; run 800; delete e/one; run 800; "
         "away; run 2000; restored; run 3700; unused one; delete e/one; "
         "run 8000; unused one"},
        {"an endpoint that restarts after the restore",
         "copy; put o/config 4; run 500; away; run 2000; restored; run 800; "
         "put e/one pool ready 0 77; run 500; started-at 77"},
        {"two restores, the second from an older copy",
         "put e/one pool draining 0 1; run 800; unused one; away; run 2000; "
         "restored; run 600; unused one; put e/one pool draining 0 1; "
         "run 800; away; run 500; restored; run 3700; unused one"},
    };
    run_rows(rows, G_N_ELEMENTS(rows));
}

static void
test_nodes(void)
{
    static const struct feed_script rows[] = {
        {"a node that registered since",
         "copy; put n/node-1 tcp://x new; run 300; nodes 2; away; run 2000; "
         "restored; run 2000; nodes 2; put n/node-1 tcp://x new; run 8000; "
         "nodes 2"},
        {"a node that registered since and is gone",
         "copy; put n/node-1 tcp://x new; run 300; away; run 2000; "
         "restored; run 8000; nodes 1"},
        {"a node that restarted since",
         "put n/node-1 tcp://x old; run 300; copy; "
         "put n/node-1 tcp://x new; run 300; node-key new; away; run 2000; "
         "restored; run 500; put n/node-1 tcp://x new; run 700; "
         "node-key new; run 8000; node-key new"},
        {"a node that restarts before the first list of the new era",
         "put n/node-1 tcp://x old; run 300; copy; away; run 2000; "
         "restored; put n/node-1 tcp://x new; run 1000; node-key new"},
        {"a node that restarts after the restore",
         "put n/node-1 tcp://x old; run 300; copy; away; run 2000; "
         "restored; run 1000; put n/node-1 tcp://x new; run 200; "
         "node-key new; run 8000; node-key new"},
    };
    run_rows(rows, G_N_ELEMENTS(rows));
}

/* Guards against removed credentials that work again: a node that has no
 * recent contact cannot know whether the copy has the newest configuration. */
static void
test_contact(void)
{
    static const struct feed_script rows[] = {
        {"a store that was never restored",
         "copy; start; run 20; contact-below 100"},
        {"a node starts, and the operator writes again late",
         "copy; put o/config 4; run 500; away; run 500; restored; start; "
         "run 1500; no-contact; put o/config 4; run 100; contact-below 1200; "
         "version 4"},
        {"a node starts, and the operator has written again already",
         "copy; put o/config 4; run 500; away; run 500; restored; "
         "put o/config 4; start; run 2000; no-contact; run 400; "
         "contact-below 300; version 4"},
        {"the store fails again before the operator can write",
         "copy; put o/config 4; run 500; away; run 500; restored; start; "
         "run 500; away; run 3000; back; run 1500; no-contact; "
         "put o/config 4; run 100; contact-below 2000; version 4"},
        {"a running node has recent contact",
         "copy; put o/config 4; run 500; away; run 2000; restored; run 700; "
         "contact-below 800; version 4"},
        {"a running node was cut off when the configuration was written",
         "copy; away; run 4500; put o/config 4; run 1000; restored; "
         "run 1500; contact-above 5000; put o/config 4; run 100; "
         "contact-below 1200; version 4"},
        {"an older configuration is written first",
         "put o/config 4; run 500; copy; away; run 5500; restored; run 500; "
         "put o/config 3; run 300; contact-above 5000; put o/config 4; "
         "run 100; contact-below 1200"},
        {"a running node was cut off and nothing is written again",
         "copy; away; run 5500; restored; run 1500; contact-above 5000; "
         "run 1600; contact-below 1200"},
    };
    /* These nodes query a watcher, which has had contact all the time and
     * knows the configuration that is given. */
    static const struct feed_script asker[] = {
        {"a watcher knows no newer configuration",
         "copy; put o/config 4; run 500; answer 1 4; away; run 5000; "
         "restored; answer-version 4; answer-always 2; run 1100; "
         "contact-below 1200; version 4"},
        {"a watcher knows a newer configuration",
         "copy; put o/config 4; run 500; answer 1 4; away; run 5000; "
         "restored; answer-version 5; answer-always 2; run 1100; "
         "contact-above 4750; put o/config 5; run 1500; contact-below 1200"},
        {"a watcher of a build that does not name its configuration",
         "copy; put o/config 4; run 500; answer 1 4; away; run 5000; "
         "restored; answer-version 0; answer-always 2; run 1100; "
         "contact-above 4750"},
        {"a watcher has no recent contact either",
         "copy; put o/config 4; run 500; answer 1 4; away; run 5000; "
         "restored; answer-version 4; answer-age 5000; answer-always 2; "
         "run 1100; contact-above 4750"},
        {"a node starts, and a watcher knows a newer configuration",
         "copy; put o/config 4; run 500; away; run 500; restored; start; "
         "answer-version 4; answer-always 2; run 1500; no-contact"},
    };
    run_rows(rows, G_N_ELEMENTS(rows));
    for (size_t i = 0; i < G_N_ELEMENTS(asker); i++) {
        feed_script_run(&asker[i], ASKER, 30);
    }
}

/* Guards against a store that goes back and whose responses name no era. It is
 * noticed where the store does not have a known revision. */
static void
test_without_era(void)
{
    static const struct feed_script rows[] = {
        {"the configuration is written again and another one follows",
         "without-era; copy; put o/config 4; run 500; put o/config 5; "
         "run 500; away; run 2000; restored; put o/config 5; run 800; "
         "put o/config 6; run 200; version 6"},
        {"the range that would go on misses a change",
         "without-era; copy; put e/three pool ready 0 1; "
         "put n/node-1 tcp://x key; put o/config 4; put o/config 5; "
         "run 800; nodes 2; away; run 2000; restored; put o/config 5; "
         "put n/node-2 tcp://x key; run 1000; nodes 3"},
        {"records in the copy are not taken for the newest",
         "without-era; copy; put o/zone/a {}; put o/config 4; run 500; "
         "unused one; away; run 2000; restored; run 1000; unused one; "
         "version 4"},
        {"the header is missing for a while",
         "without-era; run 3000; with-era; run 2000; version 3; used one; "
         "registered n/node-0"},
    };
    run_rows(rows, G_N_ELEMENTS(rows));
}

/* Guards against a node that the store rejects for a time and that does not
 * follow the watchers then, and against holds that each failed call extends.
 */
static void
test_rejected(void)
{
    static const struct {
        const char *node;
        int nodes;
        struct feed_script script;
    } rows[] = {
        {ASKER,
         30,
         {"records while the store rejects the node",
          "copy; put o/config 4; run 500; answer 1 4; away; run 500; "
          "restored; put o/config 4; answer-version 4; answer-always 2; "
          "run 3000; contact-below 1500; rejects; run 4000; "
          "put e/one pool draining 0 1; run 10000; contact-below 1500; "
          "unused one"}},
        {ASKER,
         30,
         {"contact while the store rejects the node",
          "copy; put o/config 4; run 500; answer 1 4; away; run 500; "
          "restored; put o/config 4; answer-version 4; answer-always 2; "
          "run 1500; contact-below 1500; rejects; run 9000; "
          "contact-below 4000"}},
        {ASKER,
         30,
         {"the same without a restore",
          "copy; put o/config 4; run 500; answer 1 4; answer-version 4; "
          "answer-always 1; run 3000; contact-below 1500; rejects; run 4000; "
          "put e/one pool draining 0 1; run 4500; contact-below 1500; "
          "unused one"}},
        {"node-0",
         1,
         {"the store rejects the node for a moment now and then",
          "copy; away; run 5500; restored; run 700; " FLAPS FLAPS
          "contact-below 5000"}},
        {"node-0",
         1,
         {"an endpoint is removed meanwhile",
          "copy; away; run 2000; restored; run 700; rejects; run 300; back; "
          "run 1300; delete e/one; " FLAPS FLAPS "unused one"}},
        {"node-0",
         1,
         {"the lease of the era before was granted before the first list",
          "copy; away; start; run 10; back; rejects-lists; run 700; away; "
          "run 500; restored; foreign-lease; back; run 4000; "
          "registered n/node-0"}},
        {"node-0",
         1,
         {"two restores before the operator has written again",
          "copy; put o/config 4; away; run 2200; restored; run 1500; away; "
          "run 1400; restored; run 300; contact-above 4750"}},
        {"node-0",
         1,
         {"another record at the same revision, from a store without eras",
          "without-era; copy; put e/three pool ready 0 1; put o/config 4; "
          "put o/config 5; run 800; used three; away; run 500; restored; "
          "put e/three pool draining 0 1; run 7000; unused three"}},
        {"node-0",
         1,
         {"the same with eras",
          "copy; put e/three pool ready 0 1; put o/config 4; "
          "put o/config 5; run 800; used three; away; run 500; restored; "
          "put e/three pool draining 0 1; run 1000; unused three"}},
        {"node-0",
         1,
         {"a server that is removed in the lost seconds and lives on",
          "copy; delete e/one; run 800; unused one; away; run 500; restored; "
          "run 8000; used one"}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        feed_script_run(&rows[i].script, rows[i].node, rows[i].nodes);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/feed-era/revisions", test_revisions);
    g_test_add_func("/feed-era/registration", test_registration);
    g_test_add_func("/feed-era/shared-watch", test_shared_watch);
    g_test_add_func("/feed-era/operator-records", test_operator_records);
    g_test_add_func("/feed-era/endpoints", test_endpoints);
    g_test_add_func("/feed-era/nodes", test_nodes);
    g_test_add_func("/feed-era/contact", test_contact);
    g_test_add_func("/feed-era/without-era", test_without_era);
    g_test_add_func("/feed-era/rejected", test_rejected);
    return g_test_run();
}
