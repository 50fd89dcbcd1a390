/* Guards against load reports of endpoints that are not used for the expected
 * time of calls, are used after they have lost their meaning, or that count
 * twice as they also lengthen the measured calls. */
#include <glib.h>

#include "forward/endpoints.h"
#include "forward/place.h"

#define MS 1000LL
#define NOW (1000 * MS)

static struct endpoint *
new_endpoint(const char *id)
{
    const struct cluster_endpoint from = {.id = str_from_cstr(id),
                                          .address = str_from_cstr(id),
                                          .zone = STR_LIT("a")};
    struct endpoint *e = endpoint_new(&from);
    e->usable = true;
    return e;
}

static void
test_factor(void)
{
    static const struct {
        int percent;
        double factor;
    } rows[] = {{0, 1}, {100, 1}, {250, 2.5}, {50, 0.5}, {1, 0.2}, {9999, 10}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct endpoint *e = new_endpoint("e");
        g_assert_cmpfloat(endpoint_load_factor(e, NOW), ==, 1);
        endpoint_apply_load(e, NOW, rows[i].percent);
        g_assert_cmpfloat_with_epsilon(endpoint_load_factor(e, NOW),
                                       rows[i].factor, 1e-9);
        g_assert_cmpfloat_with_epsilon(endpoint_load_factor(e, NOW + 200 * MS),
                                       1 + (rows[i].factor - 1) / 2, 1e-9);
        g_assert_cmpfloat(endpoint_load_factor(e, NOW + 500 * MS), ==, 1);
        endpoint_free(e);
    }
}

/* Two plain endpoints with the same usual time: the one that is loaded at this
 * moment is avoided, and not longer than that. */
static void
test_plain(void)
{
    struct endpoint *loaded = new_endpoint("loaded");
    struct endpoint *usual = new_endpoint("usual");
    GPtrArray *all = g_ptr_array_new();
    const struct place_query query = {.zone = STR_LIT("a"), .nodes = 1};
    g_ptr_array_add(all, loaded);
    g_ptr_array_add(all, usual);
    endpoint_apply_load(loaded, NOW, 300);
    endpoint_record_success(loaded, NOW, 57 * MS);
    endpoint_record_success(usual, NOW, 20 * MS);
    g_assert_true(place_select(all, &query, NOW + MS) == usual);
    /* 57 ms at three times the usual time are 19 ms. */
    g_assert_true(place_select(all, &query, NOW + 500 * MS) == loaded);
    g_ptr_array_free(all, TRUE);
    endpoint_free(loaded);
    endpoint_free(usual);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/endpoint-load/factor", test_factor);
    g_test_add_func("/endpoint-load/plain", test_plain);
    return g_test_run();
}
