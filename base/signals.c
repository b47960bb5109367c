/* Signals of a process that ends.  */

#include <pthread.h>
#include <signal.h>

#include "base/base.h"

bool
cv_block_stop_signals (cv_error_t *err)
{
  sigset_t set;

  (void)sigemptyset (&set);
  (void)sigaddset (&set, SIGTERM);
  (void)sigaddset (&set, SIGINT);
  (void)sigaddset (&set, SIGHUP);
  if (pthread_sigmask (SIG_BLOCK, &set, NULL) != 0)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot block signals");
  return true;
}
