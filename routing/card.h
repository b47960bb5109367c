/* The store object that registers a gateway with the observers: the UDP
   address at which the gateway receives load reports and answers.  */

#ifndef CV_ROUTING_CARD_H
#define CV_ROUTING_CARD_H

#include <netinet/in.h>

#include <json-c/json.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Appends the JSON of a gateway that receives messages at ADDRESS.  */
void cv_gateway_address_encode (cv_buf_t *out,
                                const struct sockaddr_in *address);
/* Returns false with ERR set when SPEC has no valid IPv4 address and port.  */
bool cv_gateway_address_decode (struct json_object *spec,
                                struct sockaddr_in *out, cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
