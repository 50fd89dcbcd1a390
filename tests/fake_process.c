#include "tests/fake_process.h"

#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <sys/prctl.h>

#include "base/str.h"

/* The fake must not outlive a test that aborts. */
static void
terminate_with_parent(void *unused)
{
    (void)unused;
    prctl(PR_SET_PDEATHSIG, SIGTERM);
}

void
fake_process_start(struct fake_process *p, const char *name)
{
    const char *dir = g_getenv("CF_BUILD_DIR");
    char *program = g_build_filename(dir ? dir : "build/release", name, NULL);
    GError *e = NULL;
    GSubprocessLauncher *launcher =
        g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE);
    g_subprocess_launcher_set_child_setup(launcher, terminate_with_parent,
                                          NULL, NULL);
    p->process = g_subprocess_launcher_spawn(launcher, &e, program, "--port",
                                             "0", NULL);
    g_object_unref(launcher);
    g_assert_no_error(e);
    GDataInputStream *out =
        g_data_input_stream_new(g_subprocess_get_stdout_pipe(p->process));
    char *line = g_data_input_stream_read_line(out, NULL, NULL, NULL);
    g_assert_nonnull(line);
    p->port = 0;
    int64_t port = 0;
    g_assert_true(g_str_has_prefix(line, "listening "));
    g_assert_true(str_to_i64(str_from_cstr(line + 10), &port));
    p->port = (int)port;
    g_free(line);
    g_free(program);
    g_object_unref(out);
}

static size_t
collect(char *bytes, size_t size, size_t n, void *ctx)
{
    g_string_append_len(ctx, bytes, (gssize)(size * n));
    return size * n;
}

char *
fake_process_post(const struct fake_process *p, const char *path,
                  const char *body)
{
    GString *out = g_string_new(NULL);
    CURL *e = curl_easy_init();
    char *url = g_strdup_printf("http://127.0.0.1:%d%s", p->port, path);
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, collect);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, out);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, 5000L);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    g_assert_cmpint(curl_easy_perform(e), ==, CURLE_OK);
    curl_easy_cleanup(e);
    g_free(url);
    return g_string_free(out, FALSE);
}

void
fake_process_stop(struct fake_process *p)
{
    g_subprocess_send_signal(p->process, SIGTERM);
    g_subprocess_wait(p->process, NULL, NULL);
    g_assert_cmpint(g_subprocess_get_exit_status(p->process), ==, 0);
    g_object_unref(p->process);
}
