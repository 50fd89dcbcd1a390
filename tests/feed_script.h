/**
 * @file feed_script.h
 * Runs one feed against a simulated store that may come back from an older
 * copy. A script says what happens to the store and what the node must know
 * then.
 */
#ifndef TESTS_FEED_SCRIPT_H
#define TESTS_FEED_SCRIPT_H

struct feed_script {
    const char *name;
    const char *steps; /**< separated by "; ", see run_step in feed_script.c */
};

/** Runs a script with a node that knows configuration 3 and the endpoints one
 * and two. Without the step "copy", the copy was made before the node started.
 * @param node name of the node
 * @param nodes number of registered nodes, node-0 and so on */
void feed_script_run(const struct feed_script *row, const char *node,
                     int nodes);

#endif
