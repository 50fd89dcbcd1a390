#include "base/crash.h"

#include <execinfo.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

#include "base/log.h"

#define FRAMES_MAX 48
/* Large enough to run backtrace after the thread's stack has overflowed. */
#define STACK_BYTES (64 << 10)

static char signal_stack[STACK_BYTES];

static void
write_text(const char *text)
{
    size_t len = strlen(text);
    if (write(STDOUT_FILENO, text, len) < 0) {
        return; /* the reader of the log has closed it */
    }
}

static void
write_number(int n)
{
    char text[12];
    size_t at = sizeof(text) - 1;
    text[at] = 0;
    do {
        text[--at] = (char)('0' + n % 10);
        n /= 10;
    } while (n > 0 && at > 0);
    write_text(text + at);
}

/* Uses only functions that are safe in a signal handler. crash_init has
 * already called backtrace, as its first call loads a library. */
static void
on_crash(int sig)
{
    void *frames[FRAMES_MAX];
    char name[16] = "";
    prctl(PR_GET_NAME, name);
    write_text("level=error event=crash signal=");
    write_number(sig);
    write_text(" thread=");
    write_text(name);
    write_text(" last_event=");
    write_text(log_last_event() ? log_last_event() : "none");
    write_text("\n");
    backtrace_symbols_fd(frames, backtrace(frames, FRAMES_MAX), STDOUT_FILENO);
    raise(sig); /* SA_RESETHAND has restored the default action */
}

void
crash_init(void)
{
    static const int signals[] = {SIGSEGV, SIGBUS, SIGABRT, SIGFPE, SIGILL};
    void *frame;
    stack_t alternate = {.ss_sp = signal_stack,
                         .ss_size = sizeof(signal_stack)};
    struct sigaction act = {.sa_handler = on_crash,
                            .sa_flags =
                                (int)SA_RESETHAND | SA_ONSTACK | SA_NODEFER};
    backtrace(&frame, 1);
    /* Set for the calling thread only: a stack overflow in another thread is
     * not logged. */
    sigaltstack(&alternate, NULL);
    sigemptyset(&act.sa_mask);
    for (size_t i = 0; i < sizeof(signals) / sizeof(signals[0]); i++) {
        sigaction(signals[i], &act, NULL);
    }
}
