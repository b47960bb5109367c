/* What each harness gives: one input is judged; a broken property stops the
   process.  Linked with libFuzzer, or with replay.c over files.  */

#ifndef CV_FUZZ_H
#define CV_FUZZ_H

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t n);

#endif
