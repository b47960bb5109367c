/* The object by which a gateway tells the observers where it takes their
   messages.  */

#ifndef CV_ROUTING_CARD_H
#define CV_ROUTING_CARD_H

#include <netinet/in.h>

#include <json-c/json.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The JSON of a gateway that takes messages at ADDRESS.  */
void cv_card_encode (cv_buf_t *out, const struct sockaddr_in *address);
bool cv_card_decode (struct json_object *spec, struct sockaddr_in *out,
                     cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
