/* Entry point of a fuzz harness.  It runs one input and aborts the process when
   a property does not hold.  A harness is linked with libFuzzer, or with
   replay.c, which reads inputs from files.  */

#ifndef CV_FUZZ_H
#define CV_FUZZ_H

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t n);

#endif
